#ifndef FIREFLYSLIP_GATEWAY_GATEWAY_H_
#define FIREFLYSLIP_GATEWAY_GATEWAY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fireflyslip/catalog.h"
#include "fireflyslip/http.h"
#include "fireflyslip/placement.h"
#include "fireflyslip/runtime.h"
#include "gateway/crash_monitor.h"
#include "gateway/upstream_probe.h"
#include "node/node_settings.h"

namespace fireflyslip {

class exchange;

/// \brief Data plane of a gateway: accepts client requests and forwards them to
/// upstreams. All functions must be called on the thread of its `io_context`.
class gateway {
 public:
  gateway(boost::asio::io_context& context,
          const node_settings& settings,
          metrics& counters,
          std::uint64_t seed);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  /// \brief Starts serving clients; fails if the address cannot be bound.
  result<unsigned short> Listen();
  /// \brief Starts receiving load reports.
  status ListenForReports();

  // Updates from the control plane.
  void SetDeployment(std::shared_ptr<const deployment> catalog);
  void SetUpstreams(std::shared_ptr<const upstream_map> upstreams);
  /// \brief The upstreams of these data centres get no requests from now on.
  void SetEvacuations(const evacuated_set& data_centres);
  void SetTargetVersion(const model_name& model,
                        std::uint64_t version,
                        time_point published_at);
  void ConfirmKeys(time_point current_as_of);
  void RecordPlatformResponse();

  /// \brief Starts draining: connections are closed after their next response,
  /// and every request is answered by `answer_by` at the latest.
  void StartDraining(time_point answer_by);
  /// \brief Stops accepting connections; requests in progress are completed.
  void StopAccepting();
  std::size_t requests_in_progress() const;

  // Interface for `exchange`.
  boost::asio::io_context& context() { return context_; }
  std::shared_ptr<const deployment> catalog() const { return catalog_; }
  http_client& upstream_client() { return upstream_client_; }
  metrics& counters() { return counters_; }
  const node_settings& settings() const { return settings_; }
  /// \brief Whether key revocations may be unknown to this gateway.
  bool AreKeysStale() const;
  std::optional<duration> KeyAge() const;
  /// \brief Latest time of an answer; empty unless the gateway is draining.
  std::optional<time_point> answer_by() const { return answer_by_; }
  void Submit(dispatcher::submit request);
  void Handle(const dispatcher::event& event);
  retry_window& RetryBudget(const service_name& service);
  /// \brief This gateway's part of the fixed retry allowance.
  double RetryAllowance() const;
  double Random() { return random_.Fraction(); }
  crash_monitor& crashes() { return crashes_; }
  upstream_probe& probe() { return probe_; }
  /// \brief Notes that responses of the upstream do not always name their
  /// request, so that only the first one on a connection can be told from an
  /// earlier one.
  void RecordUnnamedResponse(const upstream_entry& upstream) {
    unnamed_responses_.insert(upstream.address);
  }
  bool NamesAllResponses(const upstream_entry& upstream) const {
    return !unnamed_responses_.contains(upstream.address);
  }
  /// \brief Memory of all responses that are being received.
  const std::shared_ptr<memory_budget>& response_memory() const {
    return response_memory_;
  }

 private:
  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer);
  /// \brief Selects the upstreams that get requests.
  void SelectUpstreams();
  boost::asio::awaitable<void> ReceiveReports();
  void SubscribeToReports();
  void OnLoadReport(const load_report& report);
  void SendToStagers(const crash_notice& notice);
  void SendRequestNotices(const crash_monitor::request_notices& notices);
  /// \brief Sends evidence about each request to one stager of each data
  /// centre, which follows from the request, so that all gateways choose the
  /// same ones.
  void SendToCollectors(const crash_notice& notice);
  std::optional<boost::asio::ip::udp::endpoint> StagerEndpoint(
      const upstream_entry& upstream) const;
  /// \brief Lets the dispatcher observe that this process runs.
  void Observe();
  void Apply(const dispatcher::action& action);

  boost::asio::io_context& context_;
  const node_settings settings_;
  metrics& counters_;
  random_source random_;
  retry_allowance retry_allowance_;
  timer_service timers_;
  std::map<dispatch_id, exchange*> exchanges_;
  core_driver<dispatcher> dispatcher_;
  std::shared_ptr<memory_budget> response_memory_;
  http_client upstream_client_;
  http_server server_;
  boost::asio::ip::udp::socket report_socket_;
  std::shared_ptr<const deployment> catalog_;
  std::shared_ptr<const upstream_map> upstreams_;
  evacuated_set evacuated_;
  /// The upstreams that get requests and whose load is followed.
  std::shared_ptr<const upstream_map> monitored_;
  gateway_count_estimate gateway_count_;
  std::map<std::string, upstream_id> upstreams_by_address_;
  std::map<service_name, dispatcher::service_traits> service_traits_;
  std::map<service_name, retry_window> retry_budgets_;
  std::set<std::string> unnamed_responses_;  // addresses that are listed
  crash_monitor crashes_;
  upstream_probe probe_;
  std::optional<time_point> keys_current_as_of_;
  std::optional<time_point> answer_by_;
  dispatch_id next_dispatch_ = 1;
  bool platform_outage_ = false;           // already logged
  std::optional<time_point> observed_at_;  // last
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_GATEWAY_H_
