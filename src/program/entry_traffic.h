#ifndef FIREFLYSLIP_PROGRAM_ENTRY_TRAFFIC_H_
#define FIREFLYSLIP_PROGRAM_ENTRY_TRAFFIC_H_

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "fireflyslip/http.h"
#include "fireflyslip/link.h"
#include "fireflyslip/runtime.h"
#include "program/answer_writer.h"
#include "program/crash_guard.h"
#include "program/entry_admission.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/request_context.h"
#include "program/request_forwarder.h"
#include "program/upstream_directory.h"

namespace fireflyslip {

/// \brief Handles the requests of callers on the traffic thread of an entry.
/// Each request passes through the filters identify, admit, route, forward and
/// answer.
class entry_traffic {
 public:
  using send_function =
      std::function<void(const vm_id& peer, link_message message)>;

  entry_traffic(io_thread& thread,
                process_context& process,
                send_function send);

  /// \brief Starts to accept connections of callers.
  status Start();
  /// \brief Port that callers connect to.
  unsigned short port() const { return port_; }
  /// \brief Stops accepting requests; requests in progress are completed.
  void Drain();
  std::size_t requests_in_progress() const {
    return server_.requests_in_progress();
  }

  /// \brief Whether the load balancer should send callers to this entry. True
  /// once the required upstreams are connected or the wait for them timed out.
  /// May be called on any thread.
  bool is_ready() const { return ready_; }

  // The following functions must be called on the traffic thread.
  void OnSnapshot(snapshot_pointer snapshot);
  void OnPeerConnected(const hello_message& peer);
  void OnPeerLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, link_message message);
  /// \brief Called after a pause of the process, in which borrowed shares may
  /// have expired.
  void OnPause() { admission_.OnPause(); }

 private:
  using filter = boost::asio::awaitable<status> (
      entry_traffic::*)(request_context& context, answer_writer& writer);

  /// \brief Sets `ready_` once. It is not reset if upstreams are lost later,
  /// because other entries would lose them too; each request gets an error
  /// then.
  void UpdateReadiness();

  /// Filters in the order in which a request passes through them.
  static const std::array<filter, 5> kFilters;

  boost::asio::awaitable<status> RunFilter(std::size_t index,
                                           request_context& context,
                                           answer_writer& writer);
  boost::asio::awaitable<void> HandleRequest(http_request request,
                                             response_writer& writer);
  boost::asio::awaitable<status> Identify(request_context& context,
                                          answer_writer& writer);
  boost::asio::awaitable<status> Admit(request_context& context,
                                       answer_writer& writer);
  boost::asio::awaitable<status> Route(request_context& context,
                                       answer_writer& writer);
  boost::asio::awaitable<status> Forward(request_context& context,
                                         answer_writer& writer);
  boost::asio::awaitable<status> Answer(request_context& context,
                                        answer_writer& writer);
  status SelectUpstream(request_context& context);
  status AdmitRequest(request_context& context);
  void RecordAnswer(const request_context& context, const status& ended);

  io_thread& thread_;
  process_context& process_;
  send_function send_;
  timer_service timers_;
  std::atomic<bool> ready_ = false;
  std::optional<time_point> first_snapshot_;
  snapshot_pointer snapshot_ = std::make_shared<fleet_snapshot>();
  std::uint64_t last_sequence_ = 0;
  entry_admission admission_;
  crash_guard crashes_;
  upstream_directory upstreams_;
  request_forwarder forwarder_;
  http_server server_;
  unsigned short port_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ENTRY_TRAFFIC_H_
