#ifndef FIREFLYSLIP_MEMBERSHIP_MEMBER_TABLE_H_
#define FIREFLYSLIP_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/membership/member_messages.h"

namespace fireflyslip {

/// \brief Intervals of a `member_table`.
struct member_options {
  duration silence_timeout = seconds(3);
  /// Gone members are retained this long, so that late messages of an old
  /// incarnation do not add them again.
  duration gone_retention = seconds(600);

  auto operator<=>(const member_options&) const = default;
};

/// \brief Combines the VM list, which lags, with heartbeats and leaving
/// notices.
///
/// A member is leaving as soon as either its own notice or the list says so. A
/// notice applies to one incarnation only. A VM that the list marks as leaving
/// keeps this state until the list changes, because a restart of its process
/// does not cancel the removal of the VM.
class member_table {
 public:
  using event = member_table_event;
  using action = member_table_action;

  explicit member_table(member_options options = {}) : options_(options) {}

  std::vector<action> Handle(const event& event, time_point now);

  std::optional<time_point> NextDeadline() const;

  /// \brief Whether the VM is live and a message from it arrived recently.
  bool IsEligibleForNewWork(const vm_id& vm, time_point now) const;

  /// \brief Returns the member, or null if it is unknown.
  const member* Find(const vm_id& vm) const;

  /// \brief Returns members that are joining or live, sorted by VM. Joining
  /// members are included because a process links to a subset of the fleet
  /// only.
  std::vector<member> PresentMembers() const;

  /// \brief Revision of the newest VM list.
  std::uint64_t list_revision() const { return list_revision_; }

 private:
  struct entry {
    member value;
    bool listed = false;
    bool was_listed = false;
    bool marked_leaving = false;
    bool announced_leaving = false;  // by the current incarnation
    bool linked = false;
    bool was_linked = false;         // at least once
    std::optional<member> reported;  // value in the last member_changed
    time_point last_message;
    time_point gone_since;
  };

  void On(const tick& e, time_point now);
  void On(const member_event::connected& e, time_point now);
  void On(const member_event::heartbeat& e, time_point now);
  void On(const member_event::link_lost& e, time_point now);
  void On(const member_event::leaving_notice& e, time_point now);
  void On(const member_event::vm_list& e, time_point now);

  // Returns the entry for a message, or null if its incarnation is outdated.
  entry* FindCurrent(const vm_id& vm, incarnation_number incarnation);
  static member_state StateOf(const entry& entry);
  void UpdateState(entry& entry, time_point now);

  member_options options_;
  std::map<vm_id, entry> entries_;
  std::uint64_t list_revision_ = 0;
  std::vector<action> actions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_MEMBERSHIP_MEMBER_TABLE_H_
