#ifndef FIREFLYSLIP_ROUTING_UPSTREAM_TABLE_H_
#define FIREFLYSLIP_ROUTING_UPSTREAM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/rank.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/routing/routing_policy.h"

namespace fireflyslip {

/// \brief Events and actions of `request_router`, the same for each policy.
struct routing_types {
  /// \brief State of an upstream, derived from its declaration and membership.
  struct upstream_changed {
    upstream_id upstream;
    region_id region;
    data_centre_id data_centre;
    std::string target;  ///< Name of the model or service that it serves.
    model_version version;
    bool eligible = true;  ///< Whether it may receive new requests.

    bool operator==(const upstream_changed&) const = default;
  };
  struct upstream_removed {
    upstream_id upstream;

    bool operator==(const upstream_removed&) const = default;
  };
  struct load_reported {
    upstream_id upstream;
    std::uint64_t running = 0;
    std::uint64_t queued_tokens = 0;
    double tokens_per_second = 0;  ///< Throughput of the upstream under load.
    duration age{};                ///< Since the report was made.

    bool operator==(const load_reported&) const = default;
  };
  struct request_arrived {
    request_id request;
    std::string target;  ///< Name of the model or service.
    request_rank rank = request_rank::kStandard;
    std::uint64_t prefix_hash = 0;  ///< Of the prompt prefix; 0 for none.
    std::uint64_t estimated_tokens = 1;
    std::uint64_t bytes = 0;  ///< Expected link traffic in both directions.
    std::vector<upstream_id> excluded = {};

    bool operator==(const request_arrived&) const = default;
  };
  struct request_finished {
    request_id request;
    upstream_id upstream;
    std::uint64_t tokens = 0;

    bool operator==(const request_finished&) const = default;
  };
  struct request_failed {
    request_id request;
    upstream_id upstream;

    bool operator==(const request_failed&) const = default;
  };

  struct route {
    request_id request;
    upstream_id upstream;

    bool operator==(const route&) const = default;
  };
  struct no_upstream {
    request_id request;

    bool operator==(const no_upstream&) const = default;
  };
};

/// \brief Estimated load of the upstreams of an entry.
class upstream_table : public routing_types {
 public:
  struct state {
    upstream_changed info;
    time_point recovered;  // beginning of the slow start
    time_point reported;   // time of the last report
    double queued_tokens = 0;
    double running = 0;
    double tokens_per_second = 0;
    double unreported_tokens = 0;  // sent by this entry since the report
    double own_tokens = 0;         // sent by this entry and in progress
    struct sent_request {
      time_point sent;
      double tokens;
    };
    std::map<request_id, sent_request> in_progress;
  };

  /// \param entries number of entries that send to these upstreams.
  explicit upstream_table(std::size_t entries)
      : entries_(static_cast<double>(entries)) {}

  void On(const upstream_changed& event, time_point now);
  void On(const upstream_removed& event);
  void On(const load_reported& event, time_point now);
  void On(const request_finished& event);
  void On(const request_failed& event, time_point now);
  void RecordSent(const request_arrived& request,
                  const upstream_id& upstream,
                  time_point now);

  /// \brief Returns the seconds until a request of `tokens` would complete.
  double ExpectedWait(const state& upstream,
                      double tokens,
                      time_point now) const;

  const std::map<upstream_id, state>& upstreams() const { return upstreams_; }

 private:
  static void CountUnreported(state& upstream);

  std::map<upstream_id, state> upstreams_;
  double entries_;
  // Moving average of the tokens of a request; estimates the running requests.
  double mean_tokens_ = 100;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ROUTING_UPSTREAM_TABLE_H_
