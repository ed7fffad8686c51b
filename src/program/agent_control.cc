#include "program/agent_control.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr seconds kEnginePollInterval{1};
/// Poll interval after a failed poll; shorter, to detect a lost engine soon.
constexpr milliseconds kFailedPollInterval{250};
/// Consecutive failed polls after which the engine counts as lost. A single
/// poll may fail because a busy engine refuses the connection.
constexpr int kMaxFailedPolls = 3;
constexpr milliseconds kDrainPollInterval{50};
constexpr seconds kReportInterval{1};

constexpr std::array<std::string_view, 4> kStateNames = {"loading", "serving",
                                                         "failed", "stopped"};

std::string_view StateName(replica_state state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::optional<replica_state> ParseState(std::string_view name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == name) {
      return static_cast<replica_state>(i);
    }
  }
  return std::nullopt;
}

http_endpoint EngineOf(const process_context& process) {
  const endpoint upstream = process.settings().upstream.value_or(endpoint{});
  return {upstream.address, upstream.port};
}

rollout_settings RolloutSettings(const process_context& process) {
  rollout_settings settings;
  settings.self = process.settings().vm;
  settings.report_interval = kReportInterval;
  return settings;
}

replica_report_message ToMessage(const model_name& model,
                                 const replica_report& report) {
  return {model,          report.revision,
          report.version, std::string(StateName(report.state)),
          report.settled, report.stopped};
}

}  // namespace

agent_control::agent_control(process_context& process,
                             io_thread& thread,
                             timer_service& timers,
                             callbacks handlers)
    : process_(process),
      thread_(thread),
      timers_(timers),
      handlers_(std::move(handlers)),
      engine_(thread.context(), EngineOf(process)),
      weights_(thread.context(),
               timers,
               process,
               engine_,
               {handlers_.send,
                [this](const model_version& version) {
                  rollout_.Handle(version_staged{version});
                }}),
      rollout_(
          rollout_controller(RolloutSettings(process)),
          timers,
          [this](const rollout_controller::action& action) { Apply(action); }) {
}

void agent_control::OnSnapshot(const snapshot_pointer& snapshot) {
  const process_settings& settings = process_.settings();
  const configuration& configuration = snapshot->configuration;
  const upstream_declaration* own_declaration =
      configuration.Find(upstream_id(settings.vm.value()));
  if (own_declaration == nullptr || !own_declaration->model) {
    return;
  }
  const model_declaration* declared =
      configuration.Find(*own_declaration->model);
  if (declared == nullptr) {
    return;
  }
  model_ = *own_declaration->model;
  declared_ = declared->version;
  if (!orders_) {
    StartEngineControl(*own_declaration);
  }
  rollout_declared declaration{
      snapshot->revision, model_, declared_, declared->serving_share, {}};
  replicas_.clear();
  for (const upstream_id& upstream : configuration.UpstreamsOf(model_)) {
    if (configuration.Find(upstream)->data_centre == settings.data_centre) {
      declaration.replicas.emplace_back(upstream.value());
      replicas_.emplace(upstream.value());
    }
  }
  replicas_.erase(settings.vm);
  rollout_members_changed live;
  for (const auto& [vm, member] : snapshot->members) {
    if (member.role == process_role::kAgent && !member.leaving) {
      live.live.push_back(vm);
    }
  }
  weights_.OnSnapshot(*snapshot, model_);
  // Skipped until the VM list is known, because all replicas would be treated
  // as dead.
  if (!live.live.empty()) {
    rollout_.Handle(std::move(live));
  }
  rollout_.Handle(std::move(declaration));
}

void agent_control::StartEngineControl(
    const upstream_declaration& own_declaration) {
  orders_.emplace(
      thread_.context(), timers_, process_, engine_,
      own_declaration.checks_fencing,
      engine_orders::callbacks{
          [this](const result<orders::versioned_model>& state) {
            OnEngineState(state);
          },
          [this](const orders::versioned_model& content) {
            return weights_.CompleteManifest(content);
          },
          [this](const orders::versioned_model& content,
                 const std::string& reason) { OnLoadFailed(content, reason); },
      });
  asio::co_spawn(thread_.context(), PollEngine(), asio::detached);
}

void agent_control::OnPeerConnected(const hello_message& peer) {
  connected_.insert(peer.vm);
  SendReport(peer.vm);
}

void agent_control::OnPeerLost(const vm_id& peer) {
  connected_.erase(peer);
  weights_.OnPeerLost(peer);
}

bool agent_control::Handles(const link_message& message) {
  return std::holds_alternative<chunk_have_message>(message) ||
         std::holds_alternative<replica_report_message>(message);
}

void agent_control::OnMessage(const vm_id& peer, const link_message& message) {
  if (!orders_) {
    return;
  }
  if (const auto* have = std::get_if<chunk_have_message>(&message)) {
    weights_.OnAnnouncement(peer, *have);
  } else if (const auto* report =
                 std::get_if<replica_report_message>(&message)) {
    OnReplicaReport(peer, *report);
  }
}

void agent_control::OnReplicaReport(const vm_id& peer,
                                    const replica_report_message& message) {
  const std::optional<replica_state> state = ParseState(message.state);
  if (!state || message.model != model_ || !replicas_.contains(peer)) {
    return;
  }
  rollout_.Handle(
      peer_report_received{{peer, message.revision, message.version, *state,
                            message.settled, message.stopped}});
}

void agent_control::OnPause() {
  if (orders_) {
    orders_->OnPause();
  }
}

nlohmann::json agent_control::StatusFields() const {
  if (!orders_) {
    return nlohmann::json::object();
  }
  return {{"model", model_.value()},
          {"declared_version", declared_.value()},
          {"version",
           engine_content_ ? engine_content_->version.value() : std::string()},
          {"rollout_stopped", rollout_.core().IsStopped()},
          {"staged_chunks", weights_.staged_chunks()},
          {"declared_chunks", weights_.declared_chunks()}};
}

awaitable<void> agent_control::PollEngine() {
  asio::steady_timer timer(thread_.context());
  while (true) {
    const result<orders::versioned_model> state = co_await engine_.ReadState();
    OnEngineState(state);
    timer.expires_after(IsOk(state) ? milliseconds(kEnginePollInterval)
                                    : kFailedPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void agent_control::OnEngineState(
    const result<orders::versioned_model>& state) {
  if (IsOk(state)) {
    failed_polls_ = 0;
    OnEngineContent(ValueOf(state));
    return;
  }
  if (++failed_polls_ >= kMaxFailedPolls && engine_content_ && !engine_lost_) {
    engine_lost_ = true;
    OnEngineCrashed();
  }
}

void agent_control::OnEngineContent(const orders::versioned_model& content) {
  if (engine_content_ == content && !engine_lost_) {
    return;
  }
  const bool is_first_report = !engine_content_;
  const bool had_version = engine_content_ && !engine_content_->version.empty();
  const bool was_ordered = content == loading_ || content.version == declared_;
  // An engine that reports a version that was not ordered was restarted between
  // two polls.
  const bool restarted = !engine_lost_ && had_version && !was_ordered;
  if (restarted) {
    OnEngineCrashed();
  }
  if (engine_lost_) {
    process_.Record(event_kind::kUpstreamRecovered,
                    {{"version", content.version.value()}});
  }
  const bool must_list_staging = is_first_report || restarted || engine_lost_;
  engine_lost_ = false;
  engine_content_ = content;
  if (is_first_report && content.version.empty()) {
    // An engine that serves no version may load at once, because that takes
    // away no capacity.
    rollout_.Handle(engine_crashed{});
  }
  PublishModelAvailability();
  if (must_list_staging) {
    orders_->Withdraw(content);
    weights_.ListStaging();
  }
}

void agent_control::PublishModelAvailability() {
  if (engine_content_->version.empty() || engine_content_->model != model_) {
    handlers_.on_model_availability(false, model_version());
    return;
  }
  loading_.reset();
  process_.Record(event_kind::kVersionServed,
                  {{"model", engine_content_->model.value()},
                   {"version", engine_content_->version.value()}});
  handlers_.on_model_availability(true, engine_content_->version);
  rollout_.Handle(engine_serving{engine_content_->version});
}

void agent_control::OnEngineCrashed() {
  const orders::versioned_model running =
      orders_->in_flight().value_or(*engine_content_);
  process_.Record(
      event_kind::kUpstreamFailed,
      {{"model", running.model.value()}, {"version", running.version.value()}});
  loading_.reset();
  orders_->Withdraw(*engine_content_);
  handlers_.on_model_availability(false, model_version());
  handlers_.on_upstream_crashed();
  rollout_.Handle(engine_crashed{running.version});
}

void agent_control::Apply(const rollout_controller::action& action) {
  std::visit(
      overloaded{
          [this](const start_drain& drain) { StartDrain(drain.version); },
          [this](const load_version& load) {
            const orders::versioned_model content{model_, load.version};
            asio::co_spawn(thread_.context(), LoadAfterDrain(content),
                           asio::detached);
          },
          [this](const load_deferred& stayed) {
            if (stayed.reason == load_deferral_reason::kVersionFailed) {
              process_.Record(
                  event_kind::kRolloutStopped,
                  {{"model", model_.value()}, {"version", declared_.value()}});
            }
          },
          [this](const send_report& report) {
            last_report_ = ToMessage(model_, report.report);
            for (const vm_id& peer : connected_) {
              SendReport(peer);
            }
          },
      },
      action);
}

void agent_control::SendReport(const vm_id& peer) {
  if (last_report_ && replicas_.contains(peer)) {
    handlers_.send(peer, *last_report_);
  }
}

void agent_control::StartDrain(const model_version& version) {
  loading_ = orders::versioned_model{model_, version};
  process_.Record(event_kind::kRolloutStarted,
                  {{"model", model_.value()}, {"version", version.value()}});
  handlers_.on_model_availability(
      false, engine_content_ ? engine_content_->version : model_version());
}

awaitable<void> agent_control::LoadAfterDrain(orders::versioned_model content) {
  const time_point deadline =
      MonotonicNow() + process_.settings().drain_timeout;
  // Shared with the callback, which may be called after this coroutine frame
  // was destroyed.
  const auto running = std::make_shared<std::optional<std::size_t>>();
  asio::steady_timer timer(thread_.context());
  while (loading_ == content && MonotonicNow() < deadline) {
    running->reset();
    handlers_.count_model_requests(
        [running, &thread = thread_](std::size_t count) {
          thread.Post([running, count] { *running = count; });
        });
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (*running == std::size_t{0}) {
      break;
    }
  }
  if (loading_ == content) {
    orders_->Order(content);
  }
}

void agent_control::OnLoadFailed(const orders::versioned_model& content,
                                 const std::string& reason) {
  if (loading_ != content) {
    return;
  }
  loading_.reset();
  orders_->Withdraw(*engine_content_);
  rollout_.Handle(engine_load_failed{content.version, reason});
  // The engine still serves the version that it had before the order.
  PublishModelAvailability();
}

}  // namespace fireflyslip
