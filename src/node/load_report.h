#ifndef FIREFLYSLIP_NODE_LOAD_REPORT_H_
#define FIREFLYSLIP_NODE_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/placement/upstream_load.h"
#include "fireflyslip/retry/crash_attribution.h"

namespace fireflyslip {

/// \brief Subscription of a gateway to the load reports of a stager; expires
/// after a few seconds unless renewed.
struct load_subscription {
  vm_id subscriber;           ///< VM of the gateway.
  std::uint64_t sent_us = 0;  ///< On the clock of the gateway.
  /// Minimum time between two reports, unless the loading state or the
  /// reachability of the replica changes.
  duration interval = {};

  bool operator==(const load_subscription&) const = default;
};

/// \brief Load of a replica, reported by its stager.
struct load_report {
  std::string engine;               ///< `ADDRESS:PORT` of the replica.
  std::uint64_t echo_us = 0;        ///< `sent_us` of the newest subscription.
  std::uint64_t echo_delay_us = 0;  ///< Time since that subscription arrived.
  upstream_load load;

  bool operator==(const load_report&) const = default;
};

/// \brief Evidence of crashes, from a gateway to the stagers of the replicas
/// that it follows, and from a stager to its subscribers.
struct crash_notice {
  std::vector<crash_evidence> evidence;
  /// Whether it concerns whole requests instead of parts of prompts.
  bool whole_requests = false;

  bool operator==(const crash_notice&) const = default;
};

/// Bounds the size of a datagram.
inline constexpr std::size_t kMaxEvidencePerNotice = 6;
inline constexpr std::size_t kMaxLoadDatagramBytes = 4096;
/// Bytes of evidence that a gateway or stager sends to each receiver.
inline constexpr double kPartEvidenceBytesPerSecond = 600;
inline constexpr double kRequestEvidenceBytesPerSecond = 200;
/// Bytes of evidence about single crashes of requests that a gateway sends to
/// each data centre.
inline constexpr double kSingleEvidenceBytesPerSecond = 500;
/// Items that a gateway gets at once when it starts or was cut off.
inline constexpr std::size_t kMaxInitialEvidence = 24;
/// Time for which evidence is repeated, because datagrams may be lost.
inline constexpr duration kEvidenceRepeatTime = seconds(3);

using load_message = std::variant<load_subscription, load_report, crash_notice>;

/// \brief Encodes a message as one CBOR datagram.
std::vector<std::uint8_t> EncodeLoadMessage(const load_message& message);

/// \brief Splits evidence into notices that fit into a datagram each.
std::vector<crash_notice> SplitNotice(const crash_notice& notice);

/// \brief Evidence about requests that were at two crashes or more.
std::vector<crash_evidence> RepeatedCrashes(
    const crash_attribution& request_crashes,
    time_point since,
    time_point now);

/// \brief Decodes a datagram; empty if it is malformed.
std::optional<load_message> DecodeLoadMessage(
    std::span<const std::uint8_t> datagram);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_LOAD_REPORT_H_
