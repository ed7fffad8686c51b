#include "program/upstream_directory.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/booking.h"

namespace fireflyslip {
namespace {

// Estimated link bytes of one part: the data of an event and its CBOR frame.
constexpr std::uint64_t kBytesPerPart = 250;

vm_id AgentOf(const upstream_id& upstream) {
  return vm_id(upstream.value());
}

std::string RoutingTarget(const request_context& context) {
  return context.model.empty() ? "service/" + context.service.value()
                               : "model/" + context.model.value();
}

std::string RoutingTarget(const upstream_declaration& declared) {
  return declared.model ? "model/" + declared.model->value()
                        : "service/" + declared.service->value();
}

const std::vector<upstream_id>& DeclaredUpstreams(
    const request_context& context,
    const configuration& current) {
  return context.model.empty() ? current.UpstreamsOf(context.service)
                               : current.UpstreamsOf(context.model);
}

}  // namespace

upstream_directory::upstream_directory(process_context& process,
                                       timer_service& timers)
    : process_(process), timers_(timers) {}

result<vm_id> upstream_directory::Route(
    const request_context& context,
    const std::set<vm_id>& excluded,
    const std::optional<model_version>& version) {
  if (context.non_idempotent) {
    return RouteToJournalOwner(context);
  }
  std::optional<vm_id> found = RouteAny(context, excluded, version);
  if (!found && !excluded.empty()) {
    found = RouteAny(context, {}, version);
  }
  if (!found) {
    return error{error_kind::kNoUpstream,
                 "no upstream of the model or service accepts work"};
  }
  return *found;
}

result<vm_id> upstream_directory::RouteToJournalOwner(
    const request_context& context) const {
  const auto owner = JournalOwner(
      JournalSlot(ScopedKey(context.workspace, context.key)), context.service,
      snapshot_->configuration.UpstreamsOf(context.service));
  if (!owner) {
    return error{error_kind::kNoUpstream,
                 "no upstream is declared for the service"};
  }
  const vm_id agent = AgentOf(*owner);
  if (IsLeaving(agent)) {
    return error{error_kind::kUpstreamLeaving,
                 "the upstream that owns the journal of the key is leaving"};
  }
  if (FindEligible(agent) == nullptr) {
    return error{
        error_kind::kNoUpstream,
        "the upstream that owns the journal of the key is not reachable"};
  }
  return agent;
}

std::optional<vm_id> upstream_directory::RouteAny(
    const request_context& context,
    const std::set<vm_id>& excluded,
    const std::optional<model_version>& version) {
  if (router_ == nullptr) {
    return std::nullopt;
  }
  router::request_arrived arrived;
  arrived.request = context.id;
  arrived.target = RoutingTarget(context);
  arrived.rank = context.rank;
  arrived.prefix_hash = context.prefix_hash;
  arrived.estimated_tokens = context.estimated_tokens;
  arrived.bytes =
      context.request.body.size() + kBytesPerPart * context.estimated_tokens;
  for (const upstream_id& upstream :
       DeclaredUpstreams(context, snapshot_->configuration)) {
    const vm_id agent = AgentOf(upstream);
    const agent_state* state = FindEligible(agent);
    if (state == nullptr) {
      continue;  // The router already treats it as ineligible.
    }
    if (excluded.contains(agent) ||
        (version && state->load->version != *version)) {
      arrived.excluded.push_back(upstream);
    }
  }
  selected_agent_.reset();
  router_->Handle(std::move(arrived));
  return selected_agent_;
}

bool upstream_directory::IsServed(const model_name& model,
                                  const model_version& version) const {
  const auto& declared = snapshot_->configuration.UpstreamsOf(model);
  return std::any_of(
      declared.begin(), declared.end(), [&](const upstream_id& upstream) {
        const agent_state* state = FindEligible(AgentOf(upstream));
        return state != nullptr && state->load->version == version;
      });
}

void upstream_directory::OnAttemptEnded(const request_context& context,
                                        const vm_id& agent,
                                        bool has_failed) {
  if (router_ == nullptr || context.non_idempotent) {
    return;
  }
  const upstream_id upstream(agent.value());
  if (has_failed) {
    router_->Handle(router::request_failed{context.id, upstream});
  } else {
    router_->Handle(
        router::request_finished{context.id, upstream, context.parts});
  }
}

std::optional<incarnation_number> upstream_directory::IncarnationOf(
    const vm_id& agent) const {
  const auto found = agents_.find(agent);
  return found == agents_.end() ? std::nullopt
                                : std::optional(found->second.incarnation);
}

bool upstream_directory::AreReachable(const std::vector<upstream_id>& upstreams,
                                      bool all) const {
  std::size_t listed = 0;
  std::size_t reachable = 0;
  for (const upstream_id& upstream : upstreams) {
    const vm_id agent = AgentOf(upstream);
    const auto member = snapshot_->members.find(agent);
    if (member == snapshot_->members.end() || member->second.leaving) {
      continue;
    }
    ++listed;
    reachable += FindEligible(agent) != nullptr ? 1 : 0;
  }
  return reachable == listed || (!all && reachable > 0);
}

bool upstream_directory::HasRequiredUpstreams() const {
  const configuration& current = snapshot_->configuration;
  const auto is_model_reachable = [&](const auto& model) {
    return AreReachable(current.UpstreamsOf(model.first), false);
  };
  const auto is_service_reachable = [&](const auto& service) {
    return AreReachable(current.UpstreamsOf(service.first),
                        !service.second.non_idempotent.empty());
  };
  return std::all_of(current.models().begin(), current.models().end(),
                     is_model_reachable) &&
         std::all_of(current.services().begin(), current.services().end(),
                     is_service_reachable);
}

void upstream_directory::OnSnapshot(snapshot_pointer snapshot) {
  snapshot_ = std::move(snapshot);
  if (router_ == nullptr && snapshot_->revision > 0) {
    routing_settings settings;
    settings.region = process_.settings().region;
    settings.data_centre = process_.settings().data_centre;
    settings.entries =
        std::max<std::size_t>(snapshot_->configuration.EntryCount(), 1);
    router_ = std::make_unique<core_driver<router>>(
        router(settings, random_source(process_.incarnation())), timers_,
        [this](const router::action& action) {
          if (const auto* route = std::get_if<router::route>(&action)) {
            selected_agent_ = AgentOf(route->upstream);
          }
        });
  }
  std::set<upstream_id> all = router_upstreams_;
  for (const auto& [upstream, declared] :
       snapshot_->configuration.upstreams()) {
    all.insert(upstream);
  }
  for (const upstream_id& upstream : all) {
    UpdateRouter(upstream);
  }
}

void upstream_directory::OnAgentConnected(const vm_id& agent,
                                          incarnation_number incarnation) {
  agent_state& state = agents_[agent];
  if (state.incarnation != incarnation) {
    state = {incarnation, false, std::nullopt};
  }
  UpdateRouter(upstream_id(agent.value()));
}

void upstream_directory::OnAgentLost(const vm_id& agent) {
  agents_.erase(agent);
  UpdateRouter(upstream_id(agent.value()));
}

void upstream_directory::OnLoad(const vm_id& agent,
                                const load_report_message& load) {
  const auto found = agents_.find(agent);
  if (found == agents_.end()) {
    return;
  }
  found->second.load = load;
  const upstream_id upstream(agent.value());
  UpdateRouter(upstream);
  if (router_upstreams_.contains(upstream)) {
    router_->Handle(router::load_reported{upstream, load.running,
                                          load.queued_tokens,
                                          load.tokens_per_second, duration(0)});
  }
}

void upstream_directory::OnLeaving(const vm_id& agent) {
  if (const auto found = agents_.find(agent); found != agents_.end()) {
    found->second.leaving = true;
    UpdateRouter(upstream_id(agent.value()));
  }
}

bool upstream_directory::IsLeaving(const vm_id& agent) const {
  const auto state = agents_.find(agent);
  const auto member = snapshot_->members.find(agent);
  return (state != agents_.end() && state->second.leaving) ||
         (member != snapshot_->members.end() && member->second.leaving);
}

const upstream_directory::agent_state* upstream_directory::FindEligible(
    const vm_id& agent) const {
  const upstream_declaration* declared =
      snapshot_->configuration.Find(upstream_id(agent.value()));
  const auto found = agents_.find(agent);
  if (declared == nullptr || found == agents_.end() || IsLeaving(agent)) {
    return nullptr;
  }
  const auto& load = found->second.load;
  if (!load || !load->accepts_work ||
      (declared->model && !load->model.empty() &&
       load->model != *declared->model)) {
    return nullptr;
  }
  return &found->second;
}

region_id upstream_directory::RegionOf(
    const vm_id& agent,
    const data_centre_id& data_centre) const {
  const auto member = snapshot_->members.find(agent);
  if (member != snapshot_->members.end() && !member->second.region.empty()) {
    return member->second.region;
  }
  return data_centre == process_.settings().data_centre
             ? process_.settings().region
             : region_id();
}

void upstream_directory::UpdateRouter(const upstream_id& upstream) {
  if (router_ == nullptr) {
    return;
  }
  const upstream_declaration* declared =
      snapshot_->configuration.Find(upstream);
  if (declared == nullptr) {
    if (router_upstreams_.erase(upstream) > 0) {
      router_->Handle(router::upstream_removed{upstream});
    }
    return;
  }
  const vm_id agent = AgentOf(upstream);
  const agent_state* state = FindEligible(agent);
  router_upstreams_.insert(upstream);
  router_->Handle(router::upstream_changed{
      upstream, RegionOf(agent, declared->data_centre), declared->data_centre,
      RoutingTarget(*declared),
      state == nullptr ? model_version() : state->load->version,
      state != nullptr});
}

}  // namespace fireflyslip
