#ifndef FIREFLYSLIP_PROGRAM_DAEMON_HOST_H_
#define FIREFLYSLIP_PROGRAM_DAEMON_HOST_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <concepts>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "program/admin_server.h"
#include "program/control_plane.h"
#include "program/process_context.h"
#include "program/shutdown_signal.h"

namespace fireflyslip {

/// \brief Interface of the role of a daemon, which is entry or agent.
///
/// `OnSnapshot()` and `OnPause()` are called on the control thread, the other
/// `On` functions on the link thread, and `Drain()` and `InProgress()` on the
/// traffic thread.
template <typename Role>
concept daemon_role = requires(Role role,
                               const Role& const_role,
                               const snapshot_pointer& snapshot,
                               const hello_message& hello,
                               const vm_id& peer,
                               link_message message,
                               admin_server& admin) {
  { role.Start(admin) } -> std::same_as<status>;
  role.OnSnapshot(snapshot);
  role.OnPause();
  role.OnPeerConnected(hello);
  role.OnPeerLost(peer);
  role.OnMessage(peer, std::move(message));
  role.Drain();
  { const_role.InProgress() } -> std::same_as<std::size_t>;
  { const_role.IsReady() } -> std::same_as<bool>;
  { const_role.StatusFields() } -> std::same_as<nlohmann::json>;
};

/// \brief Owns the threads, the control plane, the admin port and the role of a
/// daemon.
template <typename Role>
class daemon_host {
  static_assert(daemon_role<Role>);

 public:
  explicit daemon_host(process_settings settings)
      : process_(std::move(settings)),
        control_(process_,
                 {
                     [this](const snapshot_pointer& snapshot) {
                       revision_ = snapshot->revision;
                       role_.OnSnapshot(snapshot);
                     },
                     [this](const hello_message& peer) {
                       role_.OnPeerConnected(peer);
                     },
                     [this](const vm_id& peer) { role_.OnPeerLost(peer); },
                     [this](const vm_id& peer, link_message message) {
                       role_.OnMessage(peer, std::move(message));
                     },
                     [this] { role_.OnPause(); },
                 }),
        role_(process_, traffic_thread_, control_),
        admin_(control_.thread().context(), process_) {
    admin_.Handle("/ready", [this](http_request) { return HandleReady(); });
    admin_.Handle("/status", [this](http_request) { return HandleStatus(); });
  }

  /// \brief Runs until a shutdown signal; returns the exit code.
  int Run(const shutdown_signal& shutdown) {
    if (const status started = Start(); !IsOk(started)) {
      LogLine("kind=start_failed detail=\"" + ErrorOf(started).detail + "\"");
      return 1;
    }
    shutdown.Wait();
    Drain();
    return 0;
  }

 private:
  status Start() {
    if (status started = role_.Start(admin_); !IsOk(started)) {
      return started;
    }
    if (const auto port = admin_.Listen(); !IsOk(port)) {
      return ErrorOf(port);
    }
    process_.Record(event_kind::kProcessStarted);
    traffic_thread_.Start();
    return control_.Start();
  }

  /// \brief Shuts down gracefully: notifies the peers and waits until work in
  /// progress has finished or the drain timeout has passed.
  void Drain() {
    constexpr std::chrono::milliseconds kPollInterval{20};
    process_.Record(event_kind::kProcessDraining);
    draining_ = true;
    control_.AnnounceLeaving();
    std::atomic<std::size_t> remaining = 1;
    traffic_thread_.Post([this] { role_.Drain(); });
    const auto deadline =
        std::chrono::steady_clock::now() + process_.settings().drain_timeout;
    while (remaining > 0 && std::chrono::steady_clock::now() < deadline) {
      traffic_thread_.Post(
          [this, &remaining] { remaining = role_.InProgress(); });
      std::this_thread::sleep_for(kPollInterval);
    }
    process_.Record(event_kind::kProcessStopped);
    control_.Stop();
    traffic_thread_.Stop();
  }

  boost::asio::awaitable<http_response> HandleReady() {
    const bool ready = revision_ > 0 && !draining_ && role_.IsReady();
    co_return http_response{
        ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"};
  }

  boost::asio::awaitable<http_response> HandleStatus() {
    const process_settings& settings = process_.settings();
    nlohmann::json body = role_.StatusFields();
    body["vm"] = settings.vm.value();
    body["data_centre"] = settings.data_centre.value();
    body["role"] = ToString(settings.role);
    body["incarnation"] = process_.incarnation();
    body["revision"] = revision_.load();
    body["draining"] = draining_.load();
    co_return JsonResponse(200, body.dump());
  }

  process_context process_;
  std::atomic<std::uint64_t> revision_ = 0;
  std::atomic<bool> draining_ = false;
  io_thread traffic_thread_;
  control_plane control_;
  Role role_;
  admin_server admin_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_DAEMON_HOST_H_
