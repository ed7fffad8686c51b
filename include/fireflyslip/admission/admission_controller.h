#ifndef FIREFLYSLIP_ADMISSION_ADMISSION_CONTROLLER_H_
#define FIREFLYSLIP_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "fireflyslip/admission/token_bucket.h"
#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Rate limits of a workspace over all gateways, as set by its contract.
struct workspace_limits {
  workspace_id workspace;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double burst_seconds = 0;  ///< Bucket depth in seconds of the rate.
  double weight = 1;

  bool operator==(const workspace_limits&) const = default;
};

/// \brief Decision core that admits or rejects the requests at one gateway.
///
/// A gateway enforces the fraction of each contract that it holds. In any
/// interval T, all gateways together admit at most rate · (T + burst).
class admission_controller {
 public:
  struct request_arrived {
    request_id request;
    workspace_id workspace;
    std::uint64_t estimated_tokens = 0;

    bool operator==(const request_arrived&) const = default;
  };
  /// \brief A request ended; the tokens used replace the estimate.
  struct tokens_used {
    workspace_id workspace;
    std::uint64_t estimated_tokens = 0;
    std::uint64_t actual_tokens = 0;

    bool operator==(const tokens_used&) const = default;
  };
  /// \brief The complete list of limits; replaces all previous limits.
  struct limits_changed {
    std::vector<workspace_limits> limits;
    double initial_share = 1;  ///< Fraction held until `share_changed`.

    bool operator==(const limits_changed&) const = default;
  };
  /// \brief The fraction of the contract that this gateway holds changed.
  struct share_changed {
    workspace_id workspace;
    double fraction = 0;

    bool operator==(const share_changed&) const = default;
  };
  using event = std::variant<tick,
                             request_arrived,
                             tokens_used,
                             limits_changed,
                             share_changed>;

  struct admit {
    request_id request;

    bool operator==(const admit&) const = default;
  };
  struct reject {
    request_id request;
    error_kind kind = error_kind::kRateLimited;
    std::optional<duration> retry_after;

    bool operator==(const reject&) const = default;
  };
  using action = std::variant<admit, reject>;

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const { return std::nullopt; }

 private:
  struct account {
    workspace_limits limits;
    double fraction;
    token_bucket requests;
    token_bucket tokens;
  };

  static void Configure(account& account, time_point now);
  action Decide(const request_arrived& event, time_point now);

  std::map<workspace_id, account> accounts_;
};

static_assert(decision_core<admission_controller>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ADMISSION_ADMISSION_CONTROLLER_H_
