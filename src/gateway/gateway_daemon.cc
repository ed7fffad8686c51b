#include "gateway/gateway_daemon.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>
#include <random>

#include "fireflyslip/http.h"
#include "fireflyslip/runtime.h"
#include "gateway/catalog_feed.h"
#include "gateway/gateway.h"
#include "gateway/gateway_shutdown.h"
#include "platform/wire_names.h"
#include "runtime/thread_monitor.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 1;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

/// \brief Gateway process with a control thread, the calling one, and a traffic
/// thread.
class gateway_daemon {
 public:
  explicit gateway_daemon(const node_settings& settings)
      : settings_(settings),
        seed_(std::random_device{}()),
        control_(1),
        signals_(control_, SIGTERM, SIGINT),
        reload_signals_(control_, SIGHUP),
        traffic_gateway_(std::make_unique<gateway>(traffic_.context(),
                                                   settings,
                                                   counters_,
                                                   seed_)),
        shutdown_(traffic_.context(),
                  *traffic_gateway_,
                  settings.drain_timeout,
                  [this] { control_.stop(); }),
        feed_(control_, settings, FeedHandlers(), seed_),
        ready_server_(control_,
                      BodilessRequestLimits(),
                      [this](http_request request, response_writer& writer) {
                        return ServeReady(std::move(request), writer);
                      }),
        metrics_server_(control_,
                        BodilessRequestLimits(),
                        [this](http_request request, response_writer& writer) {
                          return ServeMetrics(std::move(request), writer);
                        }) {}

  int Run() {
    const auto client_port = traffic_gateway_->Listen();
    if (!IsOk(client_port)) {
      return FailStart(ErrorOf(client_port));
    }
    const auto report_status = traffic_gateway_->ListenForReports();
    if (!IsOk(report_status)) {
      return FailStart(ErrorOf(report_status));
    }
    const auto readiness_port =
        ready_server_.Listen(*settings_.readiness_endpoint);
    if (!IsOk(readiness_port)) {
      return FailStart(ErrorOf(readiness_port));
    }
    const auto metrics_port =
        metrics_server_.Listen(settings_.MetricsEndpoint());
    if (!IsOk(metrics_port)) {
      return FailStart(ErrorOf(metrics_port));
    }
    AwaitStopSignal();
    AwaitReloadSignal();
    feed_.Start();
    traffic_.Start();
    LogLine("event=start role=gateway vm=" + settings_.vm.value() +
            " data_centre=" + settings_.data_centre.value());
    control_.run();
    traffic_.Stop();
    LogLine("event=stop role=gateway vm=" + settings_.vm.value());
    return kExitOk;
  }

 private:
  static int FailStart(const error& problem) {
    LogLine("event=start_failed reason=\"" + problem.detail + "\"");
    return kExitCannotListen;
  }

  catalog_feed::handlers FeedHandlers() {
    catalog_feed::handlers callbacks;
    callbacks.on_deployment =
        [this](std::shared_ptr<const deployment> catalog) {
          traffic_.Post([this, catalog = std::move(catalog)] {
            traffic_gateway_->SetDeployment(catalog);
          });
        };
    callbacks.on_upstreams =
        [this](std::shared_ptr<const upstream_map> upstreams) {
          traffic_.Post([this, upstreams = std::move(upstreams)] {
            traffic_gateway_->SetUpstreams(upstreams);
          });
        };
    callbacks.on_evacuations = [this](const evacuated_set& data_centres) {
      traffic_.Post([this, data_centres] {
        traffic_gateway_->SetEvacuations(data_centres);
      });
    };
    callbacks.on_target_version = [this](model_name model,
                                         std::uint64_t version,
                                         time_point published_at) {
      traffic_.Post([this, model = std::move(model), version, published_at] {
        traffic_gateway_->SetTargetVersion(model, version, published_at);
      });
    };
    callbacks.on_platform_responded = [this] {
      traffic_.Post([this] { traffic_gateway_->RecordPlatformResponse(); });
    };
    callbacks.on_keys_confirmed = [this](time_point current_as_of) {
      traffic_.Post([this, current_as_of] {
        traffic_gateway_->ConfirmKeys(current_as_of);
      });
    };
    return callbacks;
  }

  bool IsReady() const {
    if (draining_ || !feed_.IsComplete() || !feed_.keys_current_as_of()) {
      return false;
    }
    return MonotonicNow() - *feed_.keys_current_as_of() <
           settings_.key_revocation_timeout;
  }

  awaitable<void> ServeReady(http_request request, response_writer& writer) {
    http_response response;
    const bool known = request.path() == platform::kReadyPath;
    response.status = !known      ? kStatusNotFound
                      : IsReady() ? kStatusOk
                                  : kStatusUnavailable;
    co_await writer.Send(std::move(response));
  }

  awaitable<void> ServeMetrics(http_request /*request*/,
                               response_writer& writer) {
    http_response response;
    counters_.Set("responses_over_limit", {},
                  static_cast<double>(OversizeResponses()));
    response.body = counters_.Render();
    co_await writer.Send(std::move(response));
  }

  void AwaitStopSignal() {
    signals_.async_wait([this](const boost::system::error_code& code, int) {
      if (!code) {
        Drain();
      }
    });
  }

  void AwaitReloadSignal() {
    reload_signals_.async_wait(
        [this](const boost::system::error_code& code, int) {
          if (!code) {
            // Addresses and limits cannot change while connections are open.
            LogLine("event=reload role=gateway applied=at_restart");
            AwaitReloadSignal();
          }
        });
  }

  void Drain() {
    draining_ = true;
    LogLine("event=drain role=gateway vm=" + settings_.vm.value());
    traffic_.Post([this] { shutdown_.Start(); });
  }

  const node_settings settings_;
  const std::uint64_t seed_;
  metrics counters_;
  boost::asio::io_context control_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set reload_signals_;
  io_thread traffic_;
  std::unique_ptr<gateway> traffic_gateway_;
  gateway_shutdown shutdown_;  // on the traffic thread
  catalog_feed feed_;
  http_server ready_server_;
  http_server metrics_server_;
  thread_monitor control_monitor_{control_, "control", counters_};
  bool draining_ = false;
};

}  // namespace

int RunGateway(const node_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);

  gateway_daemon daemon(settings);
  return daemon.Run();
}

}  // namespace fireflyslip
