#ifndef FIREFLYSLIP_CATALOG_RELAY_SELECTOR_H_
#define FIREFLYSLIP_CATALOG_RELAY_SELECTOR_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Outcome of one poll of a catalog relay.
enum class relay_poll_status {
  kFresh,   ///< The relay's view of the platform is current.
  kStale,   ///< The relay responds, but has no current view.
  kFailed,  ///< No response.
};

/// \brief Timing of `relay_selector`.
struct relay_policy {
  /// Longest time for which a relay holds a poll without changes.
  duration hold = milliseconds(800);
  /// Hold time while another relay is in use, whose changes are not seen
  /// meanwhile, and after the relay in use was lost; an idle relay reads the
  /// store within this time.
  duration trial_hold = milliseconds(300);
  /// Time that a response may take beyond the hold time.
  duration response_time = milliseconds(200);
  /// Time without a fresh response after which the store is watched directly.
  duration max_silence = milliseconds(1200);
  /// The same for a process that has just learned of relays, which may be
  /// starting, too.
  duration max_start = seconds(5);
  /// Delay before the next poll of a relay whose view is stale.
  duration stale_delay = milliseconds(500);
  /// Delay before the next poll of a relay that failed; doubles up to the
  /// maximum.
  duration failure_delay = seconds(1);
  duration max_failure_delay = seconds(16);

  auto operator<=>(const relay_policy&) const = default;
};

/// \brief Decision core that chooses between the catalog relays of a data
/// centre and the platform's store.
///
/// Load pattern: each change of the catalog answers every watch, so watches of
/// all processes cost the product of processes and changes. One relay per data
/// centre watches the store; the other processes poll it, and the relay of
/// another data centre if it is lost. A process watches the store itself while
/// it knows no relay with a current view, and no longer than that.
/// Delays are randomized, so that processes do not return at the same time.
class relay_selector {
 public:
  /// \brief The relays in order of preference, the same order in all processes.
  struct candidates_changed {
    std::vector<std::string> addresses;

    bool operator==(const candidates_changed&) const = default;
  };
  /// \brief The poll in progress ended.
  struct polled {
    std::string address;
    relay_poll_status status = relay_poll_status::kFailed;

    bool operator==(const polled&) const = default;
  };
  using event = std::variant<tick, candidates_changed, polled>;

  /// \brief Poll a relay; at most one poll is in progress.
  struct poll {
    std::string address;
    duration hold = {};  ///< Time for which the relay may hold the poll.

    bool operator==(const poll&) const = default;
  };
  struct watch_store {
    bool operator==(const watch_store&) const = default;
  };
  struct leave_store {
    bool operator==(const leave_store&) const = default;
  };
  using action = std::variant<poll, watch_store, leave_store>;

  relay_selector(relay_policy policy, random_source random)
      : policy_(policy), random_(random) {}

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  bool is_watching_store() const { return watching_store_; }
  /// \brief Whether a relay has responded recently and was current.
  bool IsServed(time_point now) const;
  /// \brief Address of the relay in use; empty if it failed. It may be no
  /// candidate any more, and is then not polled.
  const std::string& current() const { return current_; }

 private:
  struct candidate {
    std::string address;
    time_point blocked_until;
    int failures = 0;  // consecutive
  };

  candidate* Find(const std::string& address);
  const candidate* FirstUnblocked(time_point now) const;
  void SetCandidates(const std::vector<std::string>& addresses, time_point now);
  void Record(const polled& result, time_point now);
  void Block(candidate& relay, relay_poll_status status, time_point now);
  /// \brief Hold time of a poll of the relay in use.
  duration HoldTime(time_point now) const;
  bool MustWatchStore(time_point now) const;

  relay_policy policy_;
  random_source random_;
  std::vector<candidate> candidates_;
  std::string current_;  // relay in use; empty if it failed
  std::optional<time_point> last_fresh_;
  std::optional<time_point> first_candidates_;  // when there were any
  bool polling_ = false;
  bool watching_store_ = false;
};

static_assert(decision_core<relay_selector>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_RELAY_SELECTOR_H_
