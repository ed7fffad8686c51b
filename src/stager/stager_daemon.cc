#include "stager/stager_daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <random>

#include "fireflyslip/http.h"
#include "fireflyslip/runtime.h"
#include "runtime/thread_monitor.h"
#include "stager/stager.h"

namespace fireflyslip {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 1;

boost::asio::awaitable<void> ServeMetrics(metrics& counters,
                                          response_writer& writer) {
  http_response response;
  counters.Set("responses_over_limit", {},
               static_cast<double>(OversizeResponses()));
  response.body = counters.Render();
  co_await writer.Send(std::move(response));
}

void AwaitReloadSignal(boost::asio::signal_set& signals) {
  signals.async_wait([&signals](const boost::system::error_code& code, int) {
    if (!code) {
      // Addresses and limits cannot change while connections are open.
      LogLine("event=reload role=stager applied=at_restart");
      AwaitReloadSignal(signals);
    }
  });
}

int FailStart(const error& problem) {
  LogLine("event=start_failed reason=\"" + problem.detail + "\"");
  return kExitCannotListen;
}

}  // namespace

int RunStager(const node_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);

  boost::asio::io_context context(1);
  metrics counters;
  stager agent(context, settings, counters, std::random_device{}());
  const status started = agent.Start();
  if (!IsOk(started)) {
    return FailStart(ErrorOf(started));
  }
  http_server metrics_server(
      context, BodilessRequestLimits(),
      [&counters](http_request, response_writer& writer) {
        return ServeMetrics(counters, writer);
      });
  const auto served = metrics_server.Listen(settings.MetricsEndpoint());
  if (!IsOk(served)) {
    return FailStart(ErrorOf(served));
  }
  thread_monitor monitor(context, "main", counters);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](const boost::system::error_code&, int) { context.stop(); });
  boost::asio::signal_set reload_signals(context, SIGHUP);
  AwaitReloadSignal(reload_signals);
  LogLine("event=start role=stager vm=" + settings.vm.value() +
          " data_centre=" + settings.data_centre.value());
  context.run();
  LogLine("event=stop role=stager vm=" + settings.vm.value());
  return kExitOk;
}

}  // namespace fireflyslip
