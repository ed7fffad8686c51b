#include "node/load_report.h"

#include <algorithm>
#include <bit>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflyslip/core/result.h"
#include "node/cbor.h"

namespace fireflyslip {
namespace {

using nlohmann::json;

// Reports are the most frequent messages of a fleet, so messages are encoded
// compactly, as arrays without field names. The first element is the type.
constexpr int kSubscriptionType = 1;
constexpr int kReportType = 2;
constexpr int kCrashNoticeType = 3;
constexpr int kRequestCrashNoticeType = 4;
/// Elements of the evidence of one part before its crashes.
constexpr std::size_t kEvidenceHeaderSize = 3;
/// Elements of one crash.
constexpr std::size_t kSightingSize = 3;
/// Elements of one companion.
constexpr std::size_t kCompanionSize = 2;
/// Companions of one part in a message, those at the most crashes.
constexpr std::size_t kMaxSentCompanions = 8;
/// Bits of the mask of a companion; more crashes are not kept of one part.
constexpr std::size_t kMaxMaskedCrashes = 64;
constexpr std::size_t kSubscriptionSize = 4;
constexpr std::size_t kReportSize = 9;
/// With the permits for a cold replica.
constexpr std::size_t kLongReportSize = 10;

bool IsUnsigned(const json& value) {
  return value.is_number_unsigned();
}

bool IsSubscription(const json& value) {
  return value.size() == kSubscriptionSize && value[0] == kSubscriptionType &&
         value[1].is_string() && IsUnsigned(value[2]) && IsUnsigned(value[3]);
}

bool IsReport(const json& value) {
  const bool has_size =
      value.size() == kReportSize ||
      (value.size() == kLongReportSize && IsUnsigned(value[kReportSize]));
  return has_size && value[0] == kReportType && value[1].is_string() &&
         IsUnsigned(value[2]) && IsUnsigned(value[3]) && IsUnsigned(value[4]) &&
         IsUnsigned(value[5]) && IsUnsigned(value[6]) && IsUnsigned(value[7]) &&
         value[8].is_array();
}

/// Each companion of a part, with the bits of the crashes at which it was, in
/// the order of their ids.
json EncodeCompanions(const crash_evidence& evidence) {
  std::map<prompt_part, std::uint64_t> masks;
  std::size_t crash = 0;
  for (const auto& [id, sighting] : evidence.crashes) {
    if (crash < kMaxMaskedCrashes) {
      for (const prompt_part companion : sighting.companions) {
        masks[companion] |= std::uint64_t{1} << crash;
      }
    }
    ++crash;
  }
  std::vector<std::pair<prompt_part, std::uint64_t>> most_frequent(
      masks.begin(), masks.end());
  std::stable_sort(most_frequent.begin(), most_frequent.end(),
                   [](const auto& a, const auto& b) {
                     return std::popcount(a.second) > std::popcount(b.second);
                   });
  most_frequent.resize(std::min(most_frequent.size(), kMaxSentCompanions));
  json list = json::array();
  for (const auto& [companion, mask] : most_frequent) {
    list.push_back(companion);
    list.push_back(mask);
  }
  return list;
}

json EncodeEvidence(const crash_evidence& evidence) {
  json item = json::array({evidence.part, evidence.begun_before,
                           static_cast<std::uint64_t>(evidence.age.count())});
  for (const auto& [crash, sighting] : evidence.crashes) {
    item.push_back(crash);
    item.push_back(sighting.cleared);
    item.push_back(static_cast<std::uint64_t>(sighting.age.count()));
  }
  // Older receivers ignore one more element.
  if (json companions = EncodeCompanions(evidence); !companions.empty()) {
    item.push_back(std::move(companions));
  }
  return item;
}

bool DecodeCompanions(const json& list,
                      const std::vector<crash_id>& crashes,
                      crash_evidence& evidence) {
  if (!list.is_array()) {
    return false;
  }
  for (std::size_t i = 0; i + kCompanionSize <= list.size();
       i += kCompanionSize) {
    if (!IsUnsigned(list[i]) || !IsUnsigned(list[i + 1])) {
      return false;
    }
    const auto mask = list[i + 1].get<std::uint64_t>();
    for (std::size_t crash = 0;
         crash < std::min(crashes.size(), kMaxMaskedCrashes); ++crash) {
      if (((mask >> crash) & 1) != 0) {
        evidence.crashes.at(crashes[crash])
            .companions.push_back(list[i].get<prompt_part>());
      }
    }
  }
  return true;
}

std::optional<crash_evidence> DecodeEvidence(const json& item) {
  if (!item.is_array() || item.size() < kEvidenceHeaderSize ||
      !IsUnsigned(item[0]) || !item[1].is_boolean() || !IsUnsigned(item[2])) {
    return std::nullopt;
  }
  crash_evidence evidence;
  evidence.part = item[0].get<prompt_part>();
  evidence.begun_before = item[1].get<bool>();
  evidence.age = duration(item[2].get<duration::rep>());
  std::vector<crash_id> crashes;
  std::size_t i = kEvidenceHeaderSize;
  for (; i + kSightingSize <= item.size(); i += kSightingSize) {
    if (!IsUnsigned(item[i]) || !item[i + 1].is_boolean() ||
        !IsUnsigned(item[i + 2])) {
      return std::nullopt;
    }
    crashes.push_back(item[i].get<crash_id>());
    evidence.crashes[crashes.back()] = {
        item[i + 1].get<bool>(), duration(item[i + 2].get<duration::rep>())};
  }
  if (i < item.size() && !DecodeCompanions(item[i], crashes, evidence)) {
    return std::nullopt;
  }
  for (auto& [crash, sighting] : evidence.crashes) {
    std::vector<prompt_part>& companions = sighting.companions;
    std::sort(companions.begin(), companions.end());
    companions.erase(std::unique(companions.begin(), companions.end()),
                     companions.end());
  }
  return evidence;
}

std::optional<crash_notice> DecodeCrashNotice(const json& value) {
  crash_notice notice;
  notice.whole_requests = value[0] == kRequestCrashNoticeType;
  for (std::size_t i = 1; i < value.size(); ++i) {
    std::optional<crash_evidence> evidence = DecodeEvidence(value[i]);
    if (!evidence || notice.evidence.size() == kMaxEvidencePerNotice) {
      return std::nullopt;
    }
    notice.evidence.push_back(*std::move(evidence));
  }
  return notice;
}

/// Bits of the state flags of a replica.
constexpr std::uint32_t kLoadingFlag = 1;
constexpr std::uint32_t kReachableFlag = 2;

}  // namespace

std::vector<std::uint8_t> EncodeLoadMessage(const load_message& message) {
  const json value = std::visit(
      overloaded{
          [](const load_subscription& subscription) {
            return json::array(
                {kSubscriptionType, subscription.subscriber.value(),
                 subscription.sent_us,
                 static_cast<std::uint64_t>(subscription.interval.count())});
          },
          [](const crash_notice& notice) {
            json list =
                json::array({notice.whole_requests ? kRequestCrashNoticeType
                                                   : kCrashNoticeType});
            for (const crash_evidence& evidence : notice.evidence) {
              list.push_back(EncodeEvidence(evidence));
            }
            return list;
          },
          [](const load_report& report) {
            json models = json::array();
            for (const auto& [model, version] : report.load.model_versions) {
              models.push_back(model.value());
              models.push_back(version);
            }
            const std::uint32_t flags =
                (report.load.loading ? kLoadingFlag : 0) |
                (report.load.reachable ? kReachableFlag : 0);
            json list = json::array({kReportType, report.engine, report.echo_us,
                                     report.echo_delay_us, report.load.active,
                                     report.load.queued, flags,
                                     report.load.gateways, std::move(models)});
            // Older receivers refuse longer reports.
            if (report.load.cold_permits > 0) {
              list.push_back(report.load.cold_permits);
            }
            return list;
          },
      },
      message);
  return json::to_cbor(value);
}

std::vector<crash_notice> SplitNotice(const crash_notice& notice) {
  std::vector<crash_notice> parts;
  for (const crash_evidence& evidence : notice.evidence) {
    if (parts.empty() ||
        parts.back().evidence.size() == kMaxEvidencePerNotice) {
      parts.emplace_back().whole_requests = notice.whole_requests;
    }
    parts.back().evidence.push_back(evidence);
  }
  return parts;
}

std::vector<crash_evidence> RepeatedCrashes(
    const crash_attribution& request_crashes,
    time_point since,
    time_point now) {
  std::vector<crash_evidence> changed =
      request_crashes.ChangedSince(since, now);
  std::erase_if(changed,
                [](const crash_evidence& item) { return !IsRepeated(item); });
  return changed;
}

std::optional<load_message> DecodeLoadMessage(
    std::span<const std::uint8_t> datagram) {
  const json value = ParseCbor(
      {reinterpret_cast<const char*>(datagram.data()), datagram.size()});
  if (value.is_discarded() || !value.is_array()) {
    return std::nullopt;
  }
  if (IsSubscription(value)) {
    return load_subscription{vm_id(value[1].get<std::string>()),
                             value[2].get<std::uint64_t>(),
                             duration(value[3].get<duration::rep>())};
  }
  if (!value.empty() &&
      (value[0] == kCrashNoticeType || value[0] == kRequestCrashNoticeType)) {
    return DecodeCrashNotice(value);
  }
  if (!IsReport(value)) {
    return std::nullopt;
  }
  load_report report;
  report.engine = value[1].get<std::string>();
  report.echo_us = value[2].get<std::uint64_t>();
  report.echo_delay_us = value[3].get<std::uint64_t>();
  report.load.active = value[4].get<std::uint32_t>();
  report.load.queued = value[5].get<std::uint32_t>();
  const auto flags = value[6].get<std::uint32_t>();
  report.load.loading = (flags & kLoadingFlag) != 0;
  report.load.reachable = (flags & kReachableFlag) != 0;
  report.load.gateways = value[7].get<std::uint32_t>();
  if (value.size() == kLongReportSize) {
    report.load.cold_permits = value[kReportSize].get<std::uint32_t>();
  }
  const json& models = value[8];
  for (std::size_t i = 0; i + 1 < models.size(); i += 2) {
    if (models[i].is_string() && IsUnsigned(models[i + 1])) {
      report.load.model_versions[model_name(models[i].get<std::string>())] =
          models[i + 1].get<std::uint64_t>();
    }
  }
  return report;
}

}  // namespace fireflyslip
