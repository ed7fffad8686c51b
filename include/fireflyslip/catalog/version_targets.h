#ifndef FIREFLYSLIP_CATALOG_VERSION_TARGETS_H_
#define FIREFLYSLIP_CATALOG_VERSION_TARGETS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Named model versions, and which of them may still begin requests.
///
/// A request must not begin on an older version once a newer one has been named
/// for longer than the rollout time. While the platform is out of reach, and
/// shortly after, old versions go on: replicas may not get new ones then, and
/// old answers are better than none.
class version_targets {
 public:
  /// \param rollout time within which replicas change to a named version, less
  /// the time for which a request may wait at a replica.
  /// \param restart_credit time for which a version that is already named when
  /// the process starts counts as known.
  version_targets(duration rollout, duration restart_credit)
      : rollout_(rollout), restart_credit_(restart_credit) {}

  /// \brief A version is named. Older versions than the newest are ignored.
  /// \param at_start whether it was named before the process started.
  void Publish(const model_name& model,
               std::uint64_t version,
               bool at_start,
               time_point now);

  /// \brief The platform answered.
  void RecordPlatformResponse(time_point now);

  /// \brief Newest named version; 0 if none is known.
  std::uint64_t Newest(const model_name& model) const;

  /// \brief Moment at which a version is superseded and requests must have
  /// begun on it; empty while no newer one is named.
  std::optional<time_point> SupersededAt(const model_name& model,
                                         std::uint64_t version,
                                         time_point now) const;

 private:
  struct published_version {
    std::uint64_t version = 0;
    time_point since;
  };

  /// Silence of the platform that counts as an outage; longer than the pause
  /// between two answers to watches.
  static constexpr milliseconds kOutage{3300};
  /// Time after an outage in which old versions go on.
  static constexpr milliseconds kOutageGrace{2200};

  bool IsOutage(time_point now) const {
    return now < grace_until_ || (contact_ && now - *contact_ > kOutage);
  }

  duration rollout_;
  duration restart_credit_;
  std::optional<time_point> contact_;
  time_point grace_until_;
  std::map<model_name, std::vector<published_version>> models_;  // by version
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_VERSION_TARGETS_H_
