#ifndef FIREFLYSLIP_PROGRAM_ENTRY_TRAFFIC_H_
#define FIREFLYSLIP_PROGRAM_ENTRY_TRAFFIC_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "fireflyslip/booking.h"
#include "fireflyslip/http.h"
#include "fireflyslip/link.h"
#include "fireflyslip/runtime.h"
#include "program/answer_writer.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/request_context.h"

namespace fireflyslip {

/// \brief The traffic thread of an entry: takes callers' requests through the
/// filters identify, admit, route and forward.
class entry_traffic {
 public:
  using send_function =
      std::function<void(const vm_id& peer, link_message message)>;

  entry_traffic(io_thread& thread,
                process_context& process,
                send_function send);

  /// \brief Starts to listen for callers.
  status Start();
  /// \brief Stops accepting; requests in progress are completed.
  void Drain();
  std::size_t requests_in_progress() const {
    return server_.requests_in_progress();
  }

  // The following are called on the traffic thread.
  void OnSnapshot(snapshot_pointer snapshot) {
    snapshot_ = std::move(snapshot);
  }
  void OnPeerConnected(const hello_message& peer);
  void OnPeerLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, link_message message);

 private:
  struct attempt_lost {};
  using attempt_event = std::variant<answer_part_message,
                                     answer_end_message,
                                     fate_message,
                                     attempt_lost>;
  struct open_attempt {
    vm_id upstream;
    std::unique_ptr<async_queue<attempt_event>> events;
  };
  struct upstream_state {
    bool leaving = false;
    std::uint64_t outstanding = 0;
    load_report_message load;
  };
  using filter = boost::asio::awaitable<status> (
      entry_traffic::*)(request_context& context, answer_writer& writer);

  /// The order of the filters of the request path.
  static const std::array<filter, 2> kFilters;

  boost::asio::awaitable<status> RunFilter(std::size_t step,
                                           request_context& context,
                                           answer_writer& writer);
  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer);
  boost::asio::awaitable<status> Identify(request_context& context,
                                          answer_writer& writer);
  boost::asio::awaitable<status> Forward(request_context& context,
                                         answer_writer& writer);
  boost::asio::awaitable<status> RunAttempt(request_context& context,
                                            const vm_id& upstream,
                                            answer_writer& writer);
  result<vm_id> SelectUpstream(const request_context& context) const;
  attempt_message MakeAttempt(const request_context& context,
                              const attempt_id& attempt) const;
  void RecordEnd(const request_context& context, const status& ended);

  io_thread& thread_;
  process_context& process_;
  send_function send_;
  snapshot_pointer snapshot_ = std::make_shared<fleet_snapshot>();
  std::uint64_t last_sequence_ = 0;
  std::map<vm_id, upstream_state> upstreams_;
  std::map<attempt_id, open_attempt> attempts_;
  http_server server_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ENTRY_TRAFFIC_H_
