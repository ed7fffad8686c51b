#include "fireflyslip/retry/crash_attribution.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "fireflyslip/core/hash.h"

namespace fireflyslip {
namespace {

/// Time before the first event of a part in which events without it count in
/// its favour.
constexpr milliseconds kMissWindowBefore{8000};
/// The same after its last event. It is shorter, because a blocked part is at
/// no event.
constexpr milliseconds kMissWindowAfter{2500};
/// Longest time between the first and the last crash of one event. A request
/// that is retried after a crash needs about as long to crash the next
/// upstream.
constexpr milliseconds kEventLength{250};
/// Fraction of the crashes of an event at which the cause must be.
constexpr double kMinShareOfEvent = 0.8;
/// Events that count although the part was not at most of their crashes: when
/// upstreams crash faster than evidence is exchanged, crashes are missing in
/// it.
constexpr std::size_t kCertainEvents = 4;
/// What the part needs of the crashes of each of these events.
constexpr double kMinShareOfCertainEvent = 0.5;
constexpr std::size_t kMinCrashesOfCertainEvent = 4;
/// Events without a companion that tell a part from it. One may be a crash with
/// another cause.
constexpr std::size_t kSeparatingEvents = 2;
/// Interrupted requests that are remembered.
constexpr std::size_t kMaxSuspectedRequests = 4096;
/// Crashes that are kept of one part.
constexpr std::size_t kMaxCrashes = 24;
/// Parts that are remembered as answered.
constexpr std::size_t kMaxBegunParts = 4096;

/// Adds companions, both in order; returns whether any is new.
bool AddCompanions(std::vector<prompt_part>& known,
                   const std::vector<prompt_part>& added) {
  if (std::includes(known.begin(), known.end(), added.begin(), added.end())) {
    return false;
  }
  std::vector<prompt_part> all;
  std::set_union(known.begin(), known.end(), added.begin(), added.end(),
                 std::back_inserter(all));
  all.resize(std::min(all.size(), kMaxCompanions));
  if (all == known) {
    return false;
  }
  known = std::move(all);
  return true;
}

}  // namespace

crash_id CrashOf(const upstream_id& upstream, std::uint64_t started_ms) {
  return StableHash(upstream.value(), started_ms);
}

bool IsRepeated(const crash_evidence& evidence) {
  const auto by_age = [](const auto& a, const auto& b) {
    return a.second.age < b.second.age;
  };
  const auto [newest, oldest] = std::minmax_element(
      evidence.crashes.begin(), evidence.crashes.end(), by_age);
  return newest != evidence.crashes.end() &&
         oldest->second.age - newest->second.age > kEventLength;
}

std::vector<crash_evidence> Strongest(std::vector<crash_evidence> evidence,
                                      std::size_t count) {
  const auto is_stronger = [](const crash_evidence& a,
                              const crash_evidence& b) {
    return std::pair(b.crashes.size(), a.age) <
           std::pair(a.crashes.size(), b.age);
  };
  std::stable_sort(evidence.begin(), evidence.end(), is_stronger);
  evidence.resize(std::min(evidence.size(), count));
  return evidence;
}

crash_policy RequestCrashPolicy() {
  crash_policy policy;
  policy.blocking_events = 3;
  // A gateway without contact to others sees their crashes only through the
  // requests beside, so events without the request tell nothing.
  policy.max_blocking_events = 3;
  policy.ambiguous_blocking_events = 5;
  policy.lifetime = std::chrono::minutes(10);
  policy.max_parts = 1024;
  // The platform lists a silent upstream for several heartbeats.
  policy.report_delay = seconds(6);
  return policy;
}

crash_attribution::crash_attribution(crash_policy policy) : policy_(policy) {}

void crash_attribution::AttemptStarted(std::uint64_t request,
                                       crash_id incarnation,
                                       std::vector<prompt_part> parts) {
  attempts_[request] = {incarnation, std::move(parts), false};
}

void crash_attribution::AttemptBegun(std::uint64_t request, time_point now) {
  const auto found = attempts_.find(request);
  if (found == attempts_.end() || found->second.begun) {
    return;
  }
  found->second.begun = true;
  bool changed = false;
  for (const prompt_part part : found->second.parts) {
    begun_[part] = now;
    const auto suspected = records_.find(part);
    if (suspected == records_.end()) {
      continue;
    }
    for (auto& [crash, known] : suspected->second.crashes) {
      if (!known.cleared) {
        known.cleared = true;
        suspected->second.changed_at = now;
        suspected->second.received_at = now;
        changed = true;
      }
    }
  }
  if (begun_.size() > kMaxBegunParts / 2) {
    begun_earlier_ = std::exchange(begun_, {});
  }
  if (changed) {
    UpdateBlocked();
  }
}

void crash_attribution::AttemptEnded(std::uint64_t request,
                                     attempt_end end,
                                     time_point now) {
  const auto found = attempts_.find(request);
  if (found == attempts_.end()) {
    return;
  }
  const attempt ended = std::move(found->second);
  attempts_.erase(found);
  if (end == attempt_end::kResponse || ended.begun || ended.parts.empty()) {
    return;
  }
  const auto lost = lost_.find(ended.incarnation);
  const interrupted_attempt last{request, ended.incarnation, ended.parts, now,
                                 end};
  if (lost != lost_.end() && now - lost->second <= policy_.report_delay) {
    Suspect(last, now);
    UpdateBlocked();
    return;
  }
  Expire(now);
  interrupted_.push_back(last);
}

void crash_attribution::UpstreamLost(crash_id incarnation, time_point now) {
  Expire(now);
  // Connections that end later are attributed to the same crash.
  lost_.insert_or_assign(incarnation, now);
  time_point latest;
  for (const interrupted_attempt& ended : interrupted_) {
    if (ended.incarnation == incarnation &&
        ended.end == attempt_end::kInterrupted) {
      latest = std::max(latest, ended.at);
    }
  }
  std::erase_if(interrupted_, [&](const interrupted_attempt& ended) {
    if (ended.incarnation != incarnation) {
      return false;
    }
    // A connection that ended earlier than others was reset before the crash.
    if (ended.end == attempt_end::kSilent ||
        latest - ended.at <= kEventLength) {
      Suspect(ended, now);
    }
    return true;
  });
  UpdateBlocked();
}

bool crash_attribution::Merge(const std::vector<crash_evidence>& evidence,
                              time_point now) {
  Expire(now);
  bool changed = false;
  for (const crash_evidence& other : evidence) {
    if (other.age > policy_.lifetime) {
      continue;
    }
    record* const own = FindOrAdd(other.part);
    if (own == nullptr) {
      continue;
    }
    const std::optional<time_point> begun_at = BegunAt(other.part);
    const bool begun_before =
        own->begun_before || other.begun_before || begun_at.has_value();
    bool is_new = begun_before != own->begun_before;
    own->begun_before = begun_before;
    for (const auto& [crash, sighting] : other.crashes) {
      const time_point at = now - sighting.age;
      // A request may have begun here before the crash became known.
      const bool cleared = sighting.cleared || (begun_at && at < *begun_at);
      const auto found = own->crashes.find(crash);
      if (found != own->crashes.end()) {
        is_new |= cleared && !found->second.cleared;
        found->second.cleared |= cleared;
        found->second.at = std::min(found->second.at, at);
        is_new |= AddCompanions(found->second.companions, sighting.companions);
      } else {
        is_new |= AddCrash(*own, crash, {cleared, at, sighting.companions});
      }
    }
    if (is_new) {
      own->changed_at = std::max(own->changed_at, now - other.age);
      own->received_at = now;
      changed = true;
    }
  }
  if (changed) {
    UpdateBlocked();
  }
  return changed;
}

void crash_attribution::SetExplained(std::set<crash_id> crashes) {
  if (crashes != explained_elsewhere_) {
    explained_elsewhere_ = std::move(crashes);
    UpdateBlocked();
  }
}

std::set<crash_id> crash_attribution::CrashesOfBlocked() const {
  std::set<prompt_part> parts = blocked_;
  for (const std::set<prompt_part>& combination : blocked_combinations_) {
    parts.insert(combination.begin(), combination.end());
  }
  std::set<crash_id> crashes;
  for (const prompt_part part : parts) {
    crashes.merge(UnclearedCrashes(records_.at(part)));
  }
  return crashes;
}

std::vector<crash_evidence> crash_attribution::ChangedSince(
    time_point since,
    time_point now) const {
  std::vector<crash_evidence> evidence;
  for (const auto& [part, known] : records_) {
    if (known.received_at <= since) {
      continue;
    }
    crash_evidence item;
    item.part = part;
    item.begun_before = known.begun_before;
    item.age = now - known.changed_at;
    for (const auto& [crash, seen] : known.crashes) {
      item.crashes[crash] = {seen.cleared, now - seen.at, seen.companions};
    }
    evidence.push_back(std::move(item));
  }
  return evidence;
}

bool crash_attribution::IsBlocked(const std::vector<prompt_part>& parts) const {
  const auto is_in_request = [&parts](prompt_part part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  return std::any_of(blocked_.begin(), blocked_.end(), is_in_request) ||
         std::any_of(blocked_combinations_.begin(), blocked_combinations_.end(),
                     [&](const std::set<prompt_part>& combination) {
                       return std::all_of(combination.begin(),
                                          combination.end(), is_in_request);
                     });
}

bool crash_attribution::IsSuspect(prompt_part part) const {
  const auto found = records_.find(part);
  return found != records_.end() && !UnclearedCrashes(found->second).empty();
}

std::vector<crash_attribution::counted_crash> crash_attribution::CountedCrashes(
    prompt_part part,
    time_point now) const {
  std::vector<counted_crash> counted;
  const auto found = records_.find(part);
  if (found == records_.end()) {
    return counted;
  }
  for (const crash_id crash : UnclearedCrashes(found->second)) {
    counted.push_back({crash, 0, now - found->second.crashes.at(crash).at});
  }
  std::sort(counted.begin(), counted.end(),
            [](const auto& a, const auto& b) { return a.age > b.age; });
  std::size_t event = 0;
  duration begin{};
  for (counted_crash& item : counted) {
    if (event == 0 || begin - item.age > kEventLength) {
      ++event;
      begin = item.age;
    }
    item.event = event;
  }
  return counted;
}

void crash_attribution::Suspect(const interrupted_attempt& ended,
                                time_point now) {
  const time_point at =
      suspected_requests_.try_emplace(ended.request, ended.at).first->second;
  if (suspected_requests_.size() > kMaxSuspectedRequests) {
    suspected_requests_.erase(suspected_requests_.begin());
  }
  std::vector<prompt_part> parts = ended.parts;
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  for (const prompt_part part : parts) {
    record* const own = FindOrAdd(part);
    if (own == nullptr) {
      continue;
    }
    own->begun_before |= BegunAt(part).has_value();
    std::vector<prompt_part> companions = parts;
    std::erase(companions, part);
    if (AddCrash(*own, ended.incarnation, {false, at, std::move(companions)})) {
      own->changed_at = now;
      own->received_at = now;
    }
  }
}

bool crash_attribution::AddCrash(record& known,
                                 crash_id crash,
                                 const known_crash& seen) {
  std::map<crash_id, known_crash>& crashes = known.crashes;
  const auto found = crashes.find(crash);
  if (found != crashes.end()) {
    return AddCompanions(found->second.companions, seen.companions);
  }
  if (crashes.size() >= kMaxCrashes) {
    const auto of_same_event = [&seen](const auto& item) {
      const duration distance = item.second.at - seen.at;
      return !item.second.cleared && std::chrono::abs(distance) <= kEventLength;
    };
    if (std::any_of(crashes.begin(), crashes.end(), of_same_event)) {
      return false;
    }
    // The oldest one goes first, and cleared ones before the others.
    crashes.erase(std::min_element(
        crashes.begin(), crashes.end(), [](const auto& a, const auto& b) {
          return std::pair(!a.second.cleared, a.second.at) <
                 std::pair(!b.second.cleared, b.second.at);
        }));
  }
  known_crash& added = crashes[crash];
  added = {seen.cleared, seen.at, {}};
  AddCompanions(added.companions, seen.companions);
  return true;
}

std::vector<crash_attribution::crash_event> crash_attribution::Events() const {
  // A request that is retried dates its later crashes too early.
  std::map<crash_id, time_point> times;
  for (const auto& [part, known] : records_) {
    for (const auto& [crash, seen] : known.crashes) {
      time_point& at = times.try_emplace(crash, seen.at).first->second;
      at = std::max(at, seen.at);
    }
  }
  std::vector<std::pair<time_point, crash_id>> sightings;
  sightings.reserve(times.size());
  for (const auto& [crash, at] : times) {
    sightings.emplace_back(at, crash);
  }
  std::sort(sightings.begin(), sightings.end());
  std::vector<crash_event> events;
  for (const auto& [at, crash] : sightings) {
    if (events.empty() || at - events.back().begin > kEventLength) {
      events.push_back({at, {}});
    }
    events.back().crashes.insert(crash);
    ++events.back().unexplained;
  }
  return events;
}

crash_attribution::event_count crash_attribution::CountEvents(
    const std::vector<crash_event>& events,
    const std::map<crash_id, std::size_t>& event_of,
    const std::map<crash_id, known_crash>& sightings,
    const std::set<crash_id>& crashes) {
  std::vector<std::pair<time_point, std::size_t>> own;  // with their events
  std::map<std::size_t, std::size_t> present;           // crashes by event
  for (const crash_id crash : crashes) {
    const std::size_t event = event_of.at(crash);
    own.emplace_back(sightings.at(crash).at, event);
    ++present[event];
  }
  std::sort(own.begin(), own.end());
  const auto is_certain = [](std::size_t part, std::size_t all) {
    return part >= kMinCrashesOfCertainEvent ||
           static_cast<double>(part) >=
               kMinShareOfCertainEvent * static_cast<double>(all);
  };
  event_count count;
  std::size_t certain = 0;
  // The crashes that one request meets have the same time here.
  for (auto item = own.begin(); item != own.end();) {
    const time_point first = item->first;
    std::size_t part = 0;
    std::size_t all = 0;
    for (; item != own.end() && item->first - first <= kEventLength; ++item) {
      part += present.at(item->second);
      all += events[item->second].unexplained;
    }
    count.counted +=
        static_cast<double>(part) >= kMinShareOfEvent * static_cast<double>(all)
            ? 1
            : 0;
    certain += is_certain(part, all) ? 1 : 0;
  }
  if (certain >= kCertainEvents) {
    count.counted = certain;
  }
  const time_point begin = events[present.begin()->first].begin;
  const time_point end = events[present.rbegin()->first].begin;
  for (std::size_t i = 0; i < events.size(); ++i) {
    const crash_event& event = events[i];
    const auto found = present.find(i);
    if (event.unexplained == 0 || event.begin < begin - kMissWindowBefore ||
        event.begin > end + kMissWindowAfter ||
        (found != present.end() &&
         is_certain(found->second, event.unexplained))) {
      continue;
    }
    ++(event.begin < begin ? count.missed_before : count.missed);
  }
  return count;
}

std::set<prompt_part> crash_attribution::Combination(prompt_part part) const {
  const record& known = records_.at(part);
  std::vector<std::pair<time_point, crash_id>> sightings;
  for (const crash_id crash : UnclearedCrashes(known)) {
    sightings.emplace_back(known.crashes.at(crash).at, crash);
  }
  std::sort(sightings.begin(), sightings.end());
  // A companion that has been answered since, or earlier than the part, is no
  // cause of these crashes.
  const auto is_suspect = [&](prompt_part companion, crash_id crash) {
    const auto other = records_.find(companion);
    if (other == records_.end() ||
        (other->second.begun_before && !known.begun_before)) {
      return false;
    }
    const auto seen = other->second.crashes.find(crash);
    return seen != other->second.crashes.end() && !seen->second.cleared;
  };
  std::size_t events = 0;
  std::map<prompt_part, std::size_t> joint_events;
  std::map<prompt_part, std::size_t> joint_crashes;
  for (auto item = sightings.begin(); item != sightings.end(); ++events) {
    const time_point first = item->first;
    std::set<prompt_part> companions;
    for (; item != sightings.end() && item->first - first <= kEventLength;
         ++item) {
      for (const prompt_part companion :
           known.crashes.at(item->second).companions) {
        if (is_suspect(companion, item->second)) {
          companions.insert(companion);
          ++joint_crashes[companion];
        }
      }
    }
    for (const prompt_part companion : companions) {
      ++joint_events[companion];
    }
  }
  std::set<prompt_part> combination = {part};
  for (const auto& [companion, joint] : joint_events) {
    // Where many upstreams crash within one event, any frequent part is with
    // the cause at some of them.
    if (joint >= policy_.blocking_events &&
        events - joint < kSeparatingEvents &&
        joint_crashes.at(companion) * 2 > sightings.size()) {
      combination.insert(companion);
    }
  }
  return combination;
}

std::set<crash_id> crash_attribution::UnclearedCrashes(const record& known) {
  std::set<crash_id> crashes;
  for (const auto& [crash, seen] : known.crashes) {
    if (!seen.cleared) {
      crashes.insert(crash);
    }
  }
  return crashes;
}

crash_attribution::record* crash_attribution::FindOrAdd(prompt_part part) {
  const auto found = records_.find(part);
  if (found != records_.end()) {
    return &found->second;
  }
  if (records_.size() >= policy_.max_parts) {
    const auto crashes_and_time = [](const auto& item) {
      return std::pair(UnclearedCrashes(item.second).size(),
                       item.second.changed_at);
    };
    const auto weakest = std::min_element(
        records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
          return crashes_and_time(a) < crashes_and_time(b);
        });
    if (UnclearedCrashes(weakest->second).size() >= policy_.blocking_events) {
      return nullptr;
    }
    records_.erase(weakest);
  }
  return &records_[part];
}

std::optional<time_point> crash_attribution::BegunAt(prompt_part part) const {
  for (const auto* begun : {&begun_, &begun_earlier_}) {
    const auto found = begun->find(part);
    if (found != begun->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

std::size_t crash_attribution::RequiredEvents(bool never_begun,
                                              std::size_t missed,
                                              std::size_t missed_before) const {
  const std::size_t alone = never_begun
                                ? policy_.blocking_events
                                : policy_.blocking_events_if_begun_before;
  return std::min(alone + (missed + 1) / 2 + missed_before / 2,
                  policy_.max_blocking_events);
}

void crash_attribution::Expire(time_point now) {
  std::erase_if(interrupted_, [&](const interrupted_attempt& ended) {
    return now - ended.at > policy_.report_delay;
  });
  std::erase_if(lost_, [&](const auto& item) {
    return now - item.second > policy_.lifetime;
  });
  const std::size_t expired = std::erase_if(records_, [&](const auto& item) {
    return now - item.second.changed_at > policy_.lifetime;
  });
  if (expired > 0) {
    UpdateBlocked();
  }
}

void crash_attribution::UpdateBlocked() {
  blocked_.clear();
  blocked_combinations_.clear();
  std::map<prompt_part, std::set<crash_id>> unexplained;
  const auto is_explained = [this](crash_id crash) {
    return explained_elsewhere_.contains(crash);
  };
  for (const auto& [part, known] : records_) {
    std::set<crash_id> crashes = UnclearedCrashes(known);
    std::erase_if(crashes, is_explained);
    unexplained[part] = std::move(crashes);
  }
  const auto may_block = [this](const auto& item) {
    return item.second.size() >= policy_.blocking_events;
  };
  if (std::none_of(unexplained.begin(), unexplained.end(), may_block)) {
    return;
  }
  std::vector<crash_event> events = Events();
  std::map<crash_id, std::size_t> event_of;
  for (std::size_t i = 0; i < events.size(); ++i) {
    for (const crash_id crash : events[i].crashes) {
      event_of[crash] = i;
    }
  }
  for (crash_event& event : events) {
    event.unexplained -= static_cast<std::size_t>(std::count_if(
        event.crashes.begin(), event.crashes.end(), is_explained));
  }
  std::set<crash_id> explained = explained_elsewhere_;
  // Events, and whether the part has never been answered.
  using suspicion = std::pair<std::size_t, bool>;
  for (;;) {
    suspicion highest{0, false};
    std::vector<prompt_part> causes;
    for (const auto& [part, crashes] : unexplained) {
      if (crashes.size() <
          RequiredEvents(!records_.at(part).begun_before, 0, 0)) {
        continue;
      }
      const event_count count =
          CountEvents(events, event_of, records_.at(part).crashes, crashes);
      const suspicion own{count.counted, !records_.at(part).begun_before};
      if (own.first <
              RequiredEvents(own.second, count.missed, count.missed_before) ||
          own < highest) {
        continue;
      }
      if (own > highest) {
        causes.clear();
        highest = own;
      }
      causes.push_back(part);
    }
    // With few events, several parts may be in all of them by coincidence.
    std::set<std::set<prompt_part>> combinations;
    for (const prompt_part cause : causes) {
      combinations.insert(Combination(cause));
    }
    const bool ambiguous = combinations.size() > 1 &&
                           highest.first < policy_.ambiguous_blocking_events;
    if (causes.empty() || ambiguous) {
      return;
    }
    for (const prompt_part cause : causes) {
      std::set<prompt_part> combination = Combination(cause);
      if (combination.size() == 1) {
        blocked_.insert(cause);
      } else {
        blocked_combinations_.insert(std::move(combination));
      }
      explained.merge(unexplained.at(cause));
    }
    for (crash_event& event : events) {
      event.unexplained = static_cast<std::size_t>(std::count_if(
          event.crashes.begin(), event.crashes.end(),
          [&explained](crash_id crash) { return !explained.contains(crash); }));
    }
    for (auto& [part, crashes] : unexplained) {
      std::erase_if(crashes, [&explained](crash_id crash) {
        return explained.contains(crash);
      });
    }
  }
}

}  // namespace fireflyslip
