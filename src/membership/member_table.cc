#include "fireflyslip/membership/member_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflyslip {

std::string_view ToString(member_state state) {
  switch (state) {
    case member_state::kJoining:
      return "joining";
    case member_state::kLive:
      return "live";
    case member_state::kLeaving:
      return "leaving";
    case member_state::kSilent:
      return "silent";
    case member_state::kGone:
      return "gone";
  }
  assert(false);
  return "";
}

std::vector<member_table::action> member_table::Handle(const event& event,
                                                       time_point now) {
  actions_.clear();
  std::visit([&](const auto& e) { On(e, now); }, event);
  return std::exchange(actions_, {});
}

std::optional<time_point> member_table::NextDeadline() const {
  std::optional<time_point> deadline;
  for (const auto& [vm, entry] : entries_) {
    if (!entry.linked && entry.value.state != member_state::kGone) {
      continue;
    }
    const time_point due = entry.linked
                               ? entry.last_message + options_.silence_timeout
                               : entry.gone_since + options_.gone_retention;
    deadline = std::min(deadline.value_or(due), due);
  }
  return deadline;
}

bool member_table::IsEligibleForNewWork(const vm_id& vm, time_point now) const {
  const auto found = entries_.find(vm);
  return found != entries_.end() &&
         found->second.value.state == member_state::kLive &&
         now < found->second.last_message + options_.silence_timeout;
}

const member* member_table::Find(const vm_id& vm) const {
  const auto found = entries_.find(vm);
  return found == entries_.end() ? nullptr : &found->second.value;
}

std::vector<member> member_table::PresentMembers() const {
  std::vector<member> members;
  for (const auto& [vm, entry] : entries_) {
    if (entry.value.state == member_state::kJoining ||
        entry.value.state == member_state::kLive) {
      members.push_back(entry.value);
    }
  }
  return members;
}

void member_table::On(const tick&, time_point now) {
  for (auto& [vm, entry] : entries_) {
    if (entry.linked && now >= entry.last_message + options_.silence_timeout) {
      entry.linked = false;
      actions_.emplace_back(member_action::close_link{vm});
      UpdateState(entry, now);
    }
  }
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.value.state == member_state::kGone &&
           now >= item.second.gone_since + options_.gone_retention;
  });
}

void member_table::On(const member_event::connected& e, time_point now) {
  entries_.try_emplace(e.vm);
  entry* entry = FindCurrent(e.vm, e.incarnation);
  if (entry == nullptr) {
    return;
  }
  entry->value.vm = e.vm;
  entry->value.data_centre = e.data_centre;
  entry->value.role = e.role;
  entry->linked = true;
  entry->was_linked = true;
  entry->last_message = now;
  UpdateState(*entry, now);
}

void member_table::On(const member_event::heartbeat& e, time_point now) {
  entry* entry = FindCurrent(e.vm, e.incarnation);
  // A message from a member without a link means that the loss of its previous
  // link was reported after a new one had been opened.
  if (entry == nullptr || !entry->was_linked) {
    return;
  }
  entry->linked = true;
  entry->last_message = now;
  UpdateState(*entry, now);
}

void member_table::On(const member_event::link_lost& e, time_point now) {
  const auto found = entries_.find(e.vm);
  if (found == entries_.end() ||
      found->second.value.incarnation != e.incarnation) {
    return;
  }
  found->second.linked = false;
  UpdateState(found->second, now);
}

void member_table::On(const member_event::leaving_notice& e, time_point now) {
  if (entry* entry = FindCurrent(e.vm, e.incarnation)) {
    entry->announced_leaving = true;
    entry->last_message = now;
    UpdateState(*entry, now);
  }
}

void member_table::On(const member_event::vm_list& e, time_point now) {
  if (e.revision <= list_revision_) {
    return;
  }
  list_revision_ = e.revision;
  for (auto& [vm, entry] : entries_) {
    entry.listed = false;
  }
  for (const vm_list_entry& listed : e.entries) {
    entry& entry = entries_[listed.vm];
    entry.listed = true;
    entry.was_listed = true;
    entry.marked_leaving = listed.leaving;
    entry.value.vm = listed.vm;
    entry.value.data_centre = listed.data_centre;
    entry.value.role = listed.role;
    entry.value.link = listed.link;
    entry.value.admin = listed.admin;
  }
  for (auto& [vm, entry] : entries_) {
    // A member that has never been listed is new and the list lags; one that
    // was listed before has been removed.
    if (!entry.listed && entry.was_listed) {
      entry.marked_leaving = true;
    }
    UpdateState(entry, now);
  }
}

member_table::entry* member_table::FindCurrent(const vm_id& vm,
                                               incarnation_number incarnation) {
  const auto found = entries_.find(vm);
  if (found == entries_.end() ||
      incarnation < found->second.value.incarnation) {
    return nullptr;
  }
  if (incarnation > found->second.value.incarnation) {
    found->second.value.incarnation = incarnation;
    found->second.announced_leaving = false;
  }
  return &found->second;
}

member_state member_table::StateOf(const entry& entry) {
  if (!entry.linked && !entry.listed &&
      (entry.was_listed || entry.announced_leaving || entry.was_linked)) {
    return member_state::kGone;
  }
  if (entry.announced_leaving || entry.marked_leaving) {
    return member_state::kLeaving;
  }
  if (entry.linked) {
    return member_state::kLive;
  }
  return entry.was_linked ? member_state::kSilent : member_state::kJoining;
}

void member_table::UpdateState(entry& entry, time_point now) {
  const member_state state = StateOf(entry);
  if (state == member_state::kGone &&
      entry.value.state != member_state::kGone) {
    entry.gone_since = now;
  }
  entry.value.state = state;
  if (entry.reported != entry.value) {
    entry.reported = entry.value;
    actions_.emplace_back(member_action::member_changed{entry.value});
  }
}

}  // namespace fireflyslip
