#ifndef FIREFLYSLIP_PLACEMENT_UPSTREAM_RESTRICTIONS_H_
#define FIREFLYSLIP_PLACEMENT_UPSTREAM_RESTRICTIONS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "fireflyslip/catalog/upstream_entry.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/placement/upstream_advice.h"

namespace fireflyslip {

/// \brief What upstreams have stated about themselves, as one gateway knows it.
///
/// A rate limit is shared without messages. Each gateway divides it by the
/// number of gateways and sends at the slots of its own grid in time, with a
/// random phase, so that gateways that learn of a limit together do not send
/// together.
///
/// The statements belong to an incarnation of an upstream. They are kept
/// when the upstream is missing in the list for some time, because they still
/// hold when it is listed again.
class upstream_restrictions {
 public:
  explicit upstream_restrictions(random_source random) : random_(random) {}

  /// \brief Replaces what is known of the upstream, except that it is leaving,
  /// which holds until it ends, and a pause, which holds for its time.
  /// \return whether a limit or leaving is new or over, or a pause was stated.
  bool Record(const upstream_entry& upstream,
              const upstream_advice& stated,
              time_point now);
  /// \brief Whether the upstream takes no new requests until it ends.
  bool IsLeaving(const upstream_entry& upstream) const;
  /// \brief Earliest time at which this gateway may send a request to the
  /// upstream; not after `now` if it may send one now.
  /// \param gateways number of gateways that send to the upstream; at least 1.
  time_point OpenAt(const upstream_entry& upstream,
                    double gateways,
                    time_point now) const;
  /// \brief Records that a request is sent. `OpenAt()` must allow it.
  void CountRequest(const upstream_entry& upstream,
                    double gateways,
                    time_point now);

 private:
  /// Bounds the memory; the incarnation that was silent for longest is dropped.
  static constexpr std::size_t kMaxIncarnations = 4096;
  /// Time for which an unused slot may still be used. A gateway that has no
  /// request at the time of a slot would lose most slots otherwise; a longer
  /// time would let the gateways save up a burst.
  static constexpr duration kSlotLifetime = seconds(1);
  /// Requests per second that an upstream gets in any case, because only a
  /// response tells that a limit has ended.
  static constexpr double kMinRate = 0.2;
  /// With less than one slot of a gateway in this time, the number of requests
  /// of all gateways in a few seconds varies like that of random arrivals, and
  /// only this fraction of the limit is used.
  static constexpr duration kDenseSlotTime = seconds(5);
  static constexpr double kSparseSlotFraction = 0.7;

  struct incarnation {
    upstream_id id;
    std::uint64_t started_ms = 0;

    auto operator<=>(const incarnation&) const = default;
  };
  struct restriction {
    upstream_advice advice;  // without retry_after
    time_point recorded_at;
    time_point paused_until;
    /// Last slot that was used; before that, when the limit was first stated.
    time_point used_slot;
    /// Part of the period by which the first slot is earlier; 0 after its use.
    double phase = 0;
  };

  static duration Period(double rate_limit, double gateways);
  /// \brief The slot to use next; it may lie within the past slot lifetime.
  static time_point NextSlot(const restriction& known,
                             double gateways,
                             time_point now);
  static incarnation KeyOf(const upstream_entry& upstream) {
    return {upstream.id, upstream.started_ms};
  }
  void DropOldest();

  random_source random_;
  std::map<incarnation, restriction> restrictions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_UPSTREAM_RESTRICTIONS_H_
