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

// An agent sends five load reports of about 80 bytes and one heartbeat of 60 a
// second. The links of an entry to the agents of one model thus take 15 KB/s of
// the 25 KB/s that a node may spend on control.
constexpr std::size_t kLocalAgents = 24;
constexpr std::size_t kRemoteAgents = 8;
// Links among processes of one role, for relayed state and lent shares.
constexpr std::size_t kLocalEntries = 8;
constexpr std::size_t kRemoteEntries = 8;
// Links among agents, for chunk announcements: within a data centre, where
// chunks are copied, and few of the same model elsewhere, since little may
// cross between regions.
constexpr std::size_t kLocalAgentPeers = 12;
constexpr std::size_t kModelAgentPeers = 4;

// Adds the neighbours of `self` in a ring that `self` dials, at most `limit`
// neighbours in all. Small rings are fully meshed. In larger ones the
// neighbours are at the distances 1, 2, 4, ..., which keeps the paths of
// relayed state short.
void SelectInRing(const std::string& ring,
                  const vm_id& self,
                  std::vector<vm_id> nodes,
                  std::size_t limit,
                  std::set<vm_id>& selected) {
  nodes = RendezvousOrder(ring, std::move(nodes));
  const std::size_t size = nodes.size();
  const std::size_t place = static_cast<std::size_t>(
      std::find(nodes.begin(), nodes.end(), self) - nodes.begin());
  const bool meshed = size <= limit + 1;
  const std::size_t steps = meshed ? size : limit / 2;
  std::size_t distance = 1;
  for (std::size_t step = 0; step < steps && distance < size; ++step) {
    for (const std::size_t offset : {distance, size - distance}) {
      // Both ends know the pair. The rule must not depend on the ring, because
      // a pair can be in two rings and two links would replace each other.
      const vm_id& peer = nodes[(place + offset) % size];
      if (self < peer) {
        selected.insert(peer);
      }
    }
    distance = meshed ? distance + 1 : distance * 2;
  }
}

// Model or service of the upstream beside an agent; empty if not declared.
std::string GroupOf(const vm_id& agent, const configuration& declared) {
  const upstream_declaration* upstream =
      declared.Find(upstream_id(agent.value()));
  if (upstream == nullptr) {
    return "";
  }
  return upstream->model.has_value() ? "model/" + upstream->model->value()
                                     : "service/" + upstream->service->value();
}

class selection {
 public:
  selection(const fleet_member& self,
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

  std::set<vm_id> OfEntry() {
    std::set<vm_id> selected;
    for (const auto& [group, agents] : agents_) {
      Merge(SelectNeighbours(self_.vm, local_entries_, agents.local,
                             kLocalAgents),
            selected);
      Merge(SelectNeighbours(self_.vm, entries_, agents.remote, kRemoteAgents),
            selected);
    }
    AddJournalHomes(selected);
    SelectInRing("entries/" + self_.data_centre.value(), self_.vm,
                 local_entries_, kLocalEntries, selected);
    SelectInRing("entries", self_.vm, entries_, kRemoteEntries, selected);
    return selected;
  }

  std::set<vm_id> OfAgent() {
    std::set<vm_id> selected;
    std::vector<vm_id> local;
    for (const auto& [group, agents] : agents_) {
      Merge(agents.local, local);
    }
    SelectInRing("agents/" + self_.data_centre.value(), self_.vm, local,
                 kLocalAgentPeers, selected);
    const std::string group = GroupOf(self_.vm, declared_);
    std::vector<vm_id> same = agents_[group].local;
    Merge(agents_[group].remote, same);
    SelectInRing("agents/" + group, self_.vm, same, kModelAgentPeers, selected);
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
  static void Merge(const std::vector<vm_id>& from, Container& into) {
    for (const vm_id& vm : from) {
      into.insert(into.end(), vm);
    }
  }

  // A call with an idempotency key can run at the home of its journal only, so
  // that each entry needs a link to each home.
  void AddJournalHomes(std::set<vm_id>& selected) const {
    for (const auto& [service, declaration] : declared_.services()) {
      for (journal_slot slot = 0; slot < kJournalSlots; ++slot) {
        const std::optional<upstream_id> home =
            JournalOwner(slot, service, declared_.UpstreamsOf(service));
        if (home && all_agents_.contains(vm_id(home->value()))) {
          selected.insert(vm_id(home->value()));
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
  selection links(self, members, declared);
  return self.role == process_role::kEntry ? links.OfEntry() : links.OfAgent();
}

}  // namespace fireflyslip
