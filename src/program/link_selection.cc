#include "program/link_selection.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/booking.h"
#include "fireflyslip/routing.h"

namespace fireflyslip {
namespace {

// Maximum number of agents of one model or service to which an entry opens
// links. An agent sends five load reports of about 80 bytes and one heartbeat
// of 60 bytes per second, so that these links take 15 KB/s of the 25 KB/s that
// a node may use for control messages.
constexpr std::size_t kMaxLocalAgents = 24;
constexpr std::size_t kMaxRemoteAgents = 8;
// Maximum number of neighbours among entries, for relayed state and lent
// shares.
constexpr std::size_t kMaxLocalEntries = 8;
constexpr std::size_t kMaxRemoteEntries = 8;
// Maximum number of neighbours among agents, for chunk announcements. Most are
// in the same data centre, where chunks are copied; there are few among all
// agents of the model, because traffic between regions must stay low.
constexpr std::size_t kMaxLocalAgentPeers = 12;
constexpr std::size_t kMaxModelAgentPeers = 4;

// Adds the neighbours of `self` in a ring to which `self` opens the link. A
// node has at most `limit` neighbours. Small rings are fully meshed. In larger
// rings the neighbours are at the distances 1, 2, 4, ..., which keeps the paths
// of relayed state short.
void SelectRingNeighbours(const std::string& ring,
                          const vm_id& self,
                          std::vector<vm_id> nodes,
                          std::size_t limit,
                          std::set<vm_id>& selected) {
  nodes = RendezvousOrder(ring, std::move(nodes));
  const std::size_t size = nodes.size();
  const std::size_t position = static_cast<std::size_t>(
      std::find(nodes.begin(), nodes.end(), self) - nodes.begin());
  const bool is_full_mesh = size <= limit + 1;
  const std::size_t steps = is_full_mesh ? size : limit / 2;
  std::size_t distance = 1;
  for (std::size_t step = 0; step < steps && distance < size; ++step) {
    for (const std::size_t offset : {distance, size - distance}) {
      // Both nodes select each other, and the one with the lower name opens the
      // link. This rule must not depend on the ring, because a pair of nodes
      // can be in two rings and two links would replace each other.
      const vm_id& peer = nodes[(position + offset) % size];
      if (self < peer) {
        selected.insert(peer);
      }
    }
    distance = is_full_mesh ? distance + 1 : distance * 2;
  }
}

// Returns the model or service of the upstream of an agent, or an empty string
// if the upstream is not declared.
std::string GroupOf(const vm_id& agent, const configuration& declared) {
  const upstream_declaration* upstream =
      declared.Find(upstream_id(agent.value()));
  if (upstream == nullptr) {
    return "";
  }
  return upstream->model.has_value() ? "model/" + upstream->model->value()
                                     : "service/" + upstream->service->value();
}

class link_selector {
 public:
  link_selector(const fleet_member& self,
                const fleet_members& members,
                const configuration& declared)
      : self_(self), declared_(declared) {
    Add(self);
    for (const auto& [vm, member] : members) {
      if (!member.leaving && vm != self.vm) {
        Add(member);
      }
    }
  }

  std::set<vm_id> SelectForEntry() {
    std::set<vm_id> selected;
    for (const auto& [group, agents] : agents_) {
      Append(SelectNeighbours(self_.vm, local_entries_, agents.local,
                              kMaxLocalAgents),
             selected);
      Append(
          SelectNeighbours(self_.vm, entries_, agents.remote, kMaxRemoteAgents),
          selected);
    }
    AddJournalOwners(selected);
    SelectRingNeighbours("entries/" + self_.data_centre.value(), self_.vm,
                         local_entries_, kMaxLocalEntries, selected);
    SelectRingNeighbours("entries", self_.vm, entries_, kMaxRemoteEntries,
                         selected);
    return selected;
  }

  std::set<vm_id> SelectForAgent() {
    std::set<vm_id> selected;
    std::vector<vm_id> local;
    for (const auto& [group, agents] : agents_) {
      Append(agents.local, local);
    }
    SelectRingNeighbours("agents/" + self_.data_centre.value(), self_.vm, local,
                         kMaxLocalAgentPeers, selected);
    const std::string group = GroupOf(self_.vm, declared_);
    std::vector<vm_id> same = agents_[group].local;
    Append(agents_[group].remote, same);
    SelectRingNeighbours("agents/" + group, self_.vm, same, kMaxModelAgentPeers,
                         selected);
    return selected;
  }

 private:
  struct agent_group {
    std::vector<vm_id> local;
    std::vector<vm_id> remote;
  };

  void Add(const fleet_member& member) {
    const bool is_local = member.data_centre == self_.data_centre;
    if (member.role == process_role::kEntry) {
      entries_.push_back(member.vm);
      if (is_local) {
        local_entries_.push_back(member.vm);
      }
      return;
    }
    all_agents_.insert(member.vm);
    agent_group& group = agents_[GroupOf(member.vm, declared_)];
    (is_local ? group.local : group.remote).push_back(member.vm);
  }

  template <typename Container>
  static void Append(const std::vector<vm_id>& from, Container& into) {
    for (const vm_id& vm : from) {
      into.insert(into.end(), vm);
    }
  }

  // A non-idempotent call can run only on the upstream that owns its journal,
  // so each entry needs a link to each owner.
  void AddJournalOwners(std::set<vm_id>& selected) const {
    for (const auto& [service, declaration] : declared_.services()) {
      for (journal_slot slot = 0; slot < kJournalSlots; ++slot) {
        const std::optional<upstream_id> owner =
            JournalOwner(slot, service, declared_.UpstreamsOf(service));
        if (owner && all_agents_.contains(vm_id(owner->value()))) {
          selected.insert(vm_id(owner->value()));
        }
      }
    }
  }

  const fleet_member& self_;
  const configuration& declared_;
  std::vector<vm_id> entries_;
  std::vector<vm_id> local_entries_;
  std::set<vm_id> all_agents_;
  std::map<std::string, agent_group> agents_;
};

}  // namespace

std::set<vm_id> SelectLinks(const fleet_member& self,
                            const fleet_members& members,
                            const configuration& declared) {
  link_selector selector(self, members, declared);
  return self.role == process_role::kEntry ? selector.SelectForEntry()
                                           : selector.SelectForAgent();
}

}  // namespace fireflyslip
