#ifndef FIREFLYSLIP_STAGING_PEER_REFRESH_H_
#define FIREFLYSLIP_STAGING_PEER_REFRESH_H_

#include <optional>

#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Timing of `peer_refresh`.
struct peer_refresh_policy {
  /// Interval at which the peers are read from a relay while chunks are
  /// fetched.
  duration relay_interval = milliseconds(1500);
  /// Mean interval at which they are read from the store if there is no relay.
  duration store_interval = seconds(6);
  /// Mean interval of these reads while no peers are known.
  duration retry_interval = milliseconds(1500);
  /// Longest delay of a read from the store after the relay in use was lost.
  duration relay_loss_delay = seconds(3);

  auto operator<=>(const peer_refresh_policy&) const = default;
};

/// \brief Decides when an agent reads the list of its peers, and from where.
///
/// Load pattern: all agents of a data centre fetch weights at the same time,
/// and the list holds all upstreams of the platform. If each agent reads it
/// from the store, the lists fill the link between the regions, so that the
/// watches of the store time out. Relays send only the changes, within the data
/// centre. Reads from the store are rare and spread.
class peer_refresh {
 public:
  enum class source { kRelay, kStore };

  peer_refresh(peer_refresh_policy policy, random_source random)
      : policy_(policy), random_(random) {}

  /// \brief Source from which the peers must be read now, if any.
  /// \param fetching whether chunks are being fetched.
  /// \param has_relay whether a relay with a current view is in use.
  std::optional<source> Next(bool fetching, bool has_relay, time_point now);

  /// \brief The relay in use was lost. The relays may have been replaced, so
  /// the list is read from the store unless a relay is in use again by then.
  void RecordRelayLost(time_point now);

  /// \brief No peers are known after a read from the store: replicas that have
  /// just started may not be registered yet.
  void RecordNoPeers(time_point now);

 private:
  /// Random factor in [1 - spread, 1 + spread).
  double Jitter(double spread) {
    return 1 - spread + 2 * spread * random_.Fraction();
  }

  peer_refresh_policy policy_;
  random_source random_;
  std::optional<time_point> last_read_;
  time_point store_due_;  // earliest next read from the store
  std::optional<time_point> relay_lost_due_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGING_PEER_REFRESH_H_
