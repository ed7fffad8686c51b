#include "program/engine_orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using json = nlohmann::json;

/// Delay before the sequencer reconsiders an order that must not be sent yet.
constexpr seconds kOrderRetryDelay{1};

http_endpoint PlatformOf(const process_context& process) {
  const endpoint& platform = process.settings().platform;
  return {platform.address, platform.port};
}

order_sequencer_settings SequencerSettings(bool checks_fencing) {
  order_sequencer_settings settings;
  settings.checks_fencing = checks_fencing;
  return settings;
}

std::string FenceBody(const orders::fence_value& value) {
  const json body = {{"token", value.token},
                     {"incarnation", value.incarnation}};
  return body.dump();
}

std::optional<orders::fence_value> ParseFence(const std::string& body) {
  const json value = json::parse(body, nullptr, false);
  if (!value.is_object() || !value.contains("token") ||
      !value.contains("incarnation") || !value["token"].is_number_unsigned() ||
      !value["incarnation"].is_number_unsigned()) {
    return std::nullopt;
  }
  orders::fence_value fence;
  fence.token = value["token"].get<std::uint64_t>();
  fence.incarnation = value["incarnation"].get<incarnation_number>();
  return fence;
}

}  // namespace

engine_orders::engine_orders(asio::io_context& context,
                             timer_service& timers,
                             process_context& process,
                             engine_client& engine,
                             bool checks_fencing,
                             callbacks handlers)
    : context_(context),
      process_(process),
      engine_(engine),
      handlers_(std::move(handlers)),
      platform_(context, PlatformOf(process)),
      fence_key_("fence/" + process.settings().vm.value()),
      sequencer_(
          order_sequencer(SequencerSettings(checks_fencing)),
          timers,
          [this](const order_sequencer::action& action) { Apply(action); }) {
  sequencer_.Handle(orders::started{process_.incarnation()});
}

void engine_orders::Order(const orders::versioned_model& content) {
  permitted_content_ = content;
  sequencer_.Handle(orders::desired_changed{content});
}

void engine_orders::Withdraw(const orders::versioned_model& reported) {
  permitted_content_.reset();
  in_flight_content_.reset();
  sequencer_.Handle(orders::desired_changed{reported});
}

void engine_orders::OnPause() {
  sequencer_.Handle(orders::resumed_after_pause{});
}

void engine_orders::Apply(const order_sequencer::action& action) {
  std::visit(overloaded{
                 [this](const orders::read_fence&) {
                   asio::co_spawn(context_, ReadFence(), asio::detached);
                 },
                 [this](const orders::write_fence& write) {
                   asio::co_spawn(context_, WriteFence(write), asio::detached);
                 },
                 [this](const orders::send_order& order) {
                   asio::co_spawn(context_, SendOrder(order), asio::detached);
                 },
                 [this](const orders::read_engine_state&) {
                   asio::co_spawn(context_, ReadState(), asio::detached);
                 },
                 [this](const orders::report_load_result& report) {
                   OnReport(report);
                 },
             },
             action);
}

awaitable<void> engine_orders::ReadFence() {
  const result<std::optional<platform_object>> read =
      co_await platform_.Get(fence_key_);
  if (!IsOk(read)) {
    sequencer_.Handle(orders::fence_failed{});
    co_return;
  }
  const std::optional<platform_object>& object = ValueOf(read);
  if (!object) {
    sequencer_.Handle(orders::fence_missing{});
    co_return;
  }
  const std::optional<orders::fence_value> value = ParseFence(object->body);
  if (!value) {
    LogLine("kind=fence_malformed object=" + fence_key_);
    sequencer_.Handle(orders::fence_failed{});
    co_return;
  }
  sequencer_.Handle(orders::fence_read{object->version, *value});
}

awaitable<void> engine_orders::WriteFence(orders::write_fence write) {
  std::string body = FenceBody(write.value);
  const result<std::uint64_t> written = co_await platform_.Put(
      fence_key_, write.expected.value_or(0), std::move(body));
  if (IsOk(written)) {
    sequencer_.Handle(orders::fence_written{ValueOf(written)});
    co_return;
  }
  switch (ErrorOf(written).kind) {
    case error_kind::kConflict:
      sequencer_.Handle(orders::fence_conflict{});
      break;
    case error_kind::kOutcomeUnknown:
      sequencer_.Handle(orders::fence_write_unknown{});
      break;
    default:
      sequencer_.Handle(orders::fence_failed{});
      break;
  }
}

awaitable<void> engine_orders::ReadState() {
  const result<orders::versioned_model> state = co_await engine_.ReadState();
  // Called before the sequencer compares the state with the order, because the
  // receiver withdraws the order if the engine was restarted.
  handlers_.on_state(state);
  orders::engine_state reported;
  if (IsOk(state)) {
    reported.reported = ValueOf(state);
  }
  sequencer_.Handle(std::move(reported));
}

awaitable<void> engine_orders::SendOrder(orders::send_order order) {
  const std::string* manifest = permitted_content_ == order.content
                                    ? handlers_.find_manifest(order.content)
                                    : nullptr;
  if (manifest == nullptr) {
    co_await DelayOrder(order.order);
    co_return;
  }
  const std::vector<event_field> fields = {
      {"model", order.content.model.value()},
      {"version", order.content.version.value()},
      {"fence", std::to_string(order.fence)}};
  process_.Record(event_kind::kOrderSent, fields);
  in_flight_content_ = order.content;
  const std::string text = *manifest;
  const orders::order_answered answer = co_await engine_.Load(order, text);
  std::vector<event_field> answered_fields = fields;
  if (answer.result == orders::order_result::kOk) {
    process_.Record(event_kind::kOrderAccepted, std::move(answered_fields));
  } else {
    answered_fields.push_back({"reason", answer.reason});
    process_.Record(event_kind::kOrderRefused, std::move(answered_fields));
  }
  if (answer.result != orders::order_result::kUnknown) {
    in_flight_content_.reset();
  }
  sequencer_.Handle(answer);
}

// An order for a version that is not staged or that was withdrawn must not be
// sent: the engine would refuse it and the version would count as failed. The
// sequencer is told that the order succeeded, so that it reads the state again.
awaitable<void> engine_orders::DelayOrder(std::uint64_t order) {
  asio::steady_timer pause(context_, kOrderRetryDelay);
  co_await pause.async_wait(asio::use_awaitable);
  orders::order_answered answer;
  answer.order = order;
  answer.result = orders::order_result::kOk;
  sequencer_.Handle(std::move(answer));
}

void engine_orders::OnReport(const orders::report_load_result& report) {
  if (!report.serving && permitted_content_ == report.content) {
    handlers_.on_failed(report.content, report.reason);
  }
}

}  // namespace fireflyslip
