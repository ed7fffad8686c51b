#include "program/link_selection.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace fireflyslip {
namespace {

class link_selection_test : public testing::Test {
 protected:
  void Add(const std::string& data_centre, process_role role, int count) {
    for (int i = 0; i < count; ++i) {
      fleet_member member;
      member.vm = vm_id(data_centre + "-" + std::string(ToString(role)) + "-" +
                        std::to_string(i));
      member.data_centre = data_centre_id(data_centre);
      member.role = role;
      members_[member.vm] = member;
    }
  }

  // Peers of each member, whichever side opens the link.
  std::map<vm_id, std::set<vm_id>> Links() const {
    std::map<vm_id, std::set<vm_id>> links;
    for (const auto& [vm, member] : members_) {
      for (const vm_id& peer : SelectLinks(member, members_, declared_)) {
        EXPECT_NE(peer, vm);
        // Two links between the same members would replace each other
        // repeatedly.
        EXPECT_TRUE(links[vm].insert(peer).second)
            << vm.value() << " and " << peer.value()
            << " open links to each other";
        links[peer].insert(vm);
      }
    }
    return links;
  }

  fleet_members members_;
  configuration declared_;
};

// Guards against pairs of members that open links to each other, and against a
// small fleet that is not fully meshed.
TEST_F(link_selection_test, SmallFleet_AllLinked) {
  for (const char* data_centre : {"akl", "wlg"}) {
    Add(data_centre, process_role::kEntry, 3);
    Add(data_centre, process_role::kAgent, 4);
  }
  const auto links = Links();
  for (const auto& [vm, member] : members_) {
    for (const auto& [peer, other] : members_) {
      const bool are_remote_agents = member.role == process_role::kAgent &&
                                     other.role == process_role::kAgent &&
                                     member.data_centre != other.data_centre;
      if (vm != peer && !are_remote_agents) {
        EXPECT_TRUE(links.at(vm).contains(peer))
            << vm.value() << " lacks " << peer.value();
      }
    }
  }
}

// Guards against a number of links per member that grows with the fleet, and
// against members that relayed state does not reach.
TEST_F(link_selection_test, LargeFleet_LinksBoundedAndConnected) {
  for (const char* data_centre : {"a", "b", "c"}) {
    Add(data_centre, process_role::kEntry, 20);
    Add(data_centre, process_role::kAgent, 60);
  }
  const auto links = Links();
  for (const auto& [vm, peers] : links) {
    std::size_t agents = 0;
    std::size_t entries = 0;
    for (const vm_id& peer : peers) {
      ++(members_.at(peer).role == process_role::kAgent ? agents : entries);
    }
    const bool is_entry = members_.at(vm).role == process_role::kEntry;
    EXPECT_LE(agents, is_entry ? 32U : 16U) << vm.value();
    EXPECT_LE(entries, is_entry ? 16U : 20U) << vm.value();
  }
  std::set<vm_id> reached = {members_.begin()->first};
  for (std::size_t before = 0; before != reached.size();) {
    before = reached.size();
    const std::set<vm_id> frontier = reached;
    for (const vm_id& vm : frontier) {
      reached.insert(links.at(vm).begin(), links.at(vm).end());
    }
  }
  EXPECT_EQ(reached.size(), members_.size());
}

// Guards against new links to a VM that is leaving.
TEST_F(link_selection_test, LeavingMember_IsNotDialled) {
  Add("akl", process_role::kEntry, 1);
  Add("akl", process_role::kAgent, 2);
  members_.at(vm_id("akl-agent-0")).leaving = true;
  EXPECT_EQ(SelectLinks(members_.at(vm_id("akl-entry-0")), members_, declared_),
            std::set<vm_id>{vm_id("akl-agent-1")});
}

}  // namespace
}  // namespace fireflyslip
