#ifndef FIREFLYSLIP_PROGRAM_ENGINE_ORDERS_H_
#define FIREFLYSLIP_PROGRAM_ENGINE_ORDERS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "fireflyslip/orders.h"
#include "fireflyslip/platform.h"
#include "fireflyslip/runtime.h"
#include "program/engine_client.h"
#include "program/process_context.h"

namespace fireflyslip {

/// \brief Sends load orders to the engine. Each order carries the fencing token
/// that is stored in the object `fence/UPSTREAM`. Used on the control thread.
class engine_orders {
 public:
  struct callbacks {
    /// Called with each state that the engine reports.
    std::function<void(const result<orders::versioned_model>& state)> on_state;
    /// Returns the manifest text of a completely staged version, or null.
    std::function<const std::string*(const orders::versioned_model& content)>
        find_manifest;
    /// The engine failed to load the ordered version.
    std::function<void(const orders::versioned_model& content,
                       const std::string& reason)>
        on_failed;
  };

  /// \brief `checks_fencing` states whether the engine rejects orders with an
  /// older fencing token, as declared for the upstream.
  engine_orders(boost::asio::io_context& context,
                timer_service& timers,
                process_context& process,
                engine_client& engine,
                bool checks_fencing,
                callbacks handlers);

  /// \brief Repeats the order to load a version until the engine reports it.
  void Order(const orders::versioned_model& content);

  /// \brief Withdraws the current order. Until the next `Order()`, the engine
  /// keeps the version that it reported.
  void Withdraw(const orders::versioned_model& reported);

  void OnPause();

  /// \brief Version of an order that was sent and is not answered yet.
  const std::optional<orders::versioned_model>& in_flight() const {
    return in_flight_content_;
  }

 private:
  using driver = core_driver<order_sequencer>;

  void Apply(const order_sequencer::action& action);
  boost::asio::awaitable<void> ReadFence();
  boost::asio::awaitable<void> WriteFence(orders::write_fence write);
  boost::asio::awaitable<void> ReadState();
  boost::asio::awaitable<void> SendOrder(orders::send_order order);
  boost::asio::awaitable<void> DelayOrder(std::uint64_t order);
  void OnReport(const orders::report_load_result& report);

  boost::asio::io_context& context_;
  process_context& process_;
  engine_client& engine_;
  callbacks handlers_;
  object_client platform_;
  const std::string fence_key_;
  std::optional<orders::versioned_model> permitted_content_;
  std::optional<orders::versioned_model> in_flight_content_;
  driver sequencer_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ENGINE_ORDERS_H_
