#ifndef FIREFLYSLIP_CATALOG_VERSION_TARGETS_H_
#define FIREFLYSLIP_CATALOG_VERSION_TARGETS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflyslip/catalog/version_history.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Published model versions, and the time at which each is superseded.
///
/// A request must not start on an older version once a newer one has been
/// published for longer than the rollout time. While the platform is
/// unreachable, and shortly after, old versions stay in use: replicas may not
/// get new ones then, and responses of an old version are better than none.
class version_targets {
 public:
  /// \param rollout time within which replicas switch to a published version,
  /// minus the time for which a request may wait at a replica.
  explicit version_targets(duration rollout) : rollout_(rollout) {}

  /// \brief Adds a published version; ignored unless it is the newest.
  /// \param published_at time before which it was not published.
  void Publish(const model_name& model,
               std::uint64_t version,
               time_point published_at,
               time_point now);

  /// \brief Records that this process is running. It must be called at least
  /// once in `kMaxObservationGap` while the process runs: a longer gap is a
  /// pause of the process, which says nothing about the platform.
  void Observe(time_point now);

  /// \brief Records that the platform responded.
  void RecordPlatformResponse(time_point now);

  /// \brief Whether old versions stay in use because the platform does not
  /// respond, or has not until shortly before.
  bool IsOutage(time_point now) const {
    return now < grace_until_ ||
           (last_response_ && now - *last_response_ > kOutage);
  }

  static constexpr milliseconds kMaxObservationGap{1000};

  /// \brief Newest published version; 0 if none is known.
  std::uint64_t Newest(const model_name& model) const;

  /// \brief Time at which a version is superseded, by which requests on it must
  /// have started; empty while there is no newer version, or during an outage.
  std::optional<time_point> SupersededAt(const model_name& model,
                                         std::uint64_t version,
                                         time_point now) const;

 private:
  /// Time without a response of the platform that counts as an outage; longer
  /// than the interval between responses to watches.
  static constexpr milliseconds kOutage{3300};
  /// Time after an outage for which old versions stay in use.
  static constexpr milliseconds kOutageGrace{2200};

  duration rollout_;
  std::optional<time_point> last_observed_;
  // Postponed by pauses of the process, so that they do not count as silence.
  std::optional<time_point> last_response_;
  time_point grace_until_;
  std::map<model_name, version_history> models_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_VERSION_TARGETS_H_
