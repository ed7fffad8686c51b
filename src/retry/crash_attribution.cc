#include "fireflyslip/retry/crash_attribution.h"

#include <algorithm>
#include <utility>

#include "fireflyslip/core/hash.h"

namespace fireflyslip {
namespace {

/// Crashes without a request that began since, after which a part is blocked.
/// A part that has never been answered is more likely to be the cause.
constexpr std::size_t kBlockingCrashes = 2;
constexpr std::size_t kBlockingCrashesIfBegunBefore = 3;
/// Crashes that are kept of one part.
constexpr std::size_t kMaxCrashes = 8;
/// Longest time between the end of a connection to a crashed upstream and the
/// report of its agent, in either order.
constexpr milliseconds kReportDelay{1500};
/// Parts that are remembered as answered.
constexpr std::size_t kMaxBegunParts = 4096;

std::set<crash_id> UnclearedCrashes(const crash_evidence& evidence) {
  std::set<crash_id> crashes;
  for (const auto& [crash, cleared] : evidence.crashes) {
    if (!cleared) {
      crashes.insert(crash);
    }
  }
  return crashes;
}

}  // namespace

crash_id CrashOf(const upstream_id& upstream, std::uint64_t started_ms) {
  return StableHash(upstream.value(), started_ms);
}

crash_attribution::crash_attribution(duration lifetime, std::size_t bound)
    : lifetime_(lifetime), bound_(bound) {}

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
    begun_.insert(part);
    const auto suspected = records_.find(part);
    if (suspected == records_.end()) {
      continue;
    }
    for (auto& [crash, cleared] : suspected->second.evidence.crashes) {
      if (!cleared) {
        cleared = true;
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
                                     bool interrupted,
                                     time_point now) {
  const auto found = attempts_.find(request);
  if (found == attempts_.end()) {
    return;
  }
  const attempt ended = std::move(found->second);
  attempts_.erase(found);
  if (!interrupted || ended.begun || ended.parts.empty()) {
    return;
  }
  const auto lost = lost_.find(ended.incarnation);
  if (lost != lost_.end() && now - lost->second <= kReportDelay) {
    Suspect(ended.parts, ended.incarnation, now);
    UpdateBlocked();
    return;
  }
  Expire(now);
  interrupted_.push_back({ended.incarnation, ended.parts, now});
}

void crash_attribution::UpstreamLost(crash_id incarnation, time_point now) {
  Expire(now);
  // Connections that end later are attributed to the same crash.
  lost_.insert_or_assign(incarnation, now);
  std::erase_if(interrupted_, [&](const interrupted_attempt& ended) {
    if (ended.incarnation != incarnation) {
      return false;
    }
    Suspect(ended.parts, incarnation, now);
    return true;
  });
  UpdateBlocked();
}

bool crash_attribution::Merge(const std::vector<crash_evidence>& evidence,
                              time_point now) {
  Expire(now);
  bool changed = false;
  for (const crash_evidence& other : evidence) {
    if (other.age > lifetime_) {
      continue;
    }
    record* const own = FindOrAdd(other.part);
    if (own == nullptr) {
      continue;
    }
    const crash_evidence before = own->evidence;
    own->evidence.begun_before |= other.begun_before || HasBegun(other.part);
    for (const auto& [crash, cleared] : other.crashes) {
      if (own->evidence.crashes.contains(crash) ||
          own->evidence.crashes.size() < kMaxCrashes) {
        own->evidence.crashes[crash] |= cleared;
      }
    }
    if (own->evidence != before) {
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

std::vector<crash_evidence> crash_attribution::ChangedSince(
    time_point since,
    time_point now) const {
  std::vector<crash_evidence> evidence;
  for (const auto& [part, known] : records_) {
    if (known.received_at > since) {
      evidence.push_back(known.evidence);
      evidence.back().age = now - known.changed_at;
    }
  }
  return evidence;
}

bool crash_attribution::IsBlocked(const std::vector<prompt_part>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [this](prompt_part part) {
    return blocked_.contains(part);
  });
}

void crash_attribution::Suspect(const std::vector<prompt_part>& parts,
                                crash_id crash,
                                time_point now) {
  for (const prompt_part part : parts) {
    record* const own = FindOrAdd(part);
    if (own == nullptr) {
      continue;
    }
    own->evidence.begun_before |= HasBegun(part);
    std::map<crash_id, bool>& crashes = own->evidence.crashes;
    if (crashes.size() == kMaxCrashes) {
      const auto cleared =
          std::find_if(crashes.begin(), crashes.end(),
                       [](const auto& item) { return item.second; });
      crashes.erase(cleared == crashes.end() ? crashes.begin() : cleared);
    }
    crashes.try_emplace(crash, false);
    own->changed_at = now;
    own->received_at = now;
  }
}

crash_attribution::record* crash_attribution::FindOrAdd(prompt_part part) {
  const auto found = records_.find(part);
  if (found != records_.end()) {
    return &found->second;
  }
  if (records_.size() >= bound_) {
    const auto cleared =
        std::find_if(records_.begin(), records_.end(), [](const auto& item) {
          return UnclearedCrashes(item.second.evidence).empty();
        });
    if (cleared == records_.end()) {
      return nullptr;
    }
    records_.erase(cleared);
  }
  record& added = records_[part];
  added.evidence.part = part;
  return &added;
}

void crash_attribution::Expire(time_point now) {
  std::erase_if(interrupted_, [now](const interrupted_attempt& ended) {
    return now - ended.at > kReportDelay;
  });
  std::erase_if(
      lost_, [&](const auto& item) { return now - item.second > lifetime_; });
  const std::size_t expired = std::erase_if(records_, [&](const auto& item) {
    return now - item.second.changed_at > lifetime_;
  });
  if (expired > 0) {
    UpdateBlocked();
  }
}

void crash_attribution::UpdateBlocked() {
  blocked_.clear();
  std::map<prompt_part, std::set<crash_id>> unexplained;
  for (const auto& [part, known] : records_) {
    unexplained[part] = UnclearedCrashes(known.evidence);
  }
  // Crashes, and whether the part has never been answered.
  using suspicion = std::pair<std::size_t, bool>;
  for (;;) {
    suspicion highest{0, false};
    std::vector<prompt_part> causes;
    for (const auto& [part, crashes] : unexplained) {
      const bool never_begun = !records_.at(part).evidence.begun_before;
      const suspicion own{crashes.size(), never_begun};
      if (crashes.size() < (never_begun ? kBlockingCrashes
                                        : kBlockingCrashesIfBegunBefore) ||
          own < highest) {
        continue;
      }
      if (own > highest) {
        causes.clear();
        highest = own;
      }
      causes.push_back(part);
    }
    // With few crashes, several parts may be in all of them by coincidence.
    const bool ambiguous =
        causes.size() > 1 && highest.first < kBlockingCrashesIfBegunBefore;
    if (causes.empty() || ambiguous) {
      return;
    }
    std::set<crash_id> explained;
    for (const prompt_part cause : causes) {
      blocked_.insert(cause);
      explained.merge(unexplained.at(cause));
    }
    for (auto& [part, crashes] : unexplained) {
      std::erase_if(crashes, [&explained](crash_id crash) {
        return explained.contains(crash);
      });
    }
  }
}

}  // namespace fireflyslip
