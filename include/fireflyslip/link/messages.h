#ifndef FIREFLYSLIP_LINK_MESSAGES_H_
#define FIREFLYSLIP_LINK_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/error.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/rank.h"

namespace fireflyslip {

/// \brief First message that each side of a link sends.
struct hello_message {
  vm_id vm;
  data_centre_id data_centre;
  std::string role;
  incarnation_number incarnation = 0;
  std::string key;  ///< Proof of the shared key; never logged.

  auto operator<=>(const hello_message&) const = default;
};

/// \brief Sent every second; a link without any message for 3 s is closed.
struct heartbeat_message {
  std::uint64_t sequence = 0;
  std::uint64_t configuration_revision = 0;
  std::uint64_t members_revision = 0;

  auto operator<=>(const heartbeat_message&) const = default;
};

/// \brief One attempt to execute a request.
struct attempt_message {
  attempt_id attempt;
  workspace_id workspace;
  double weight = 1;
  request_rank rank = request_rank::kStandard;
  std::uint64_t deadline_ms = 0;  ///< Time left when the message was sent.
  model_name model;               ///< Empty for a service call.
  service_name service;           ///< Empty for a model request.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  idempotency_key key;
  bool non_idempotent = false;
  std::uint64_t estimated_tokens = 0;
  std::uint64_t resume_offset = 0;  ///< Parts already received by the entry.
  model_version resume_version;
  bool suspect = false;     ///< In progress when an upstream crashed.
  std::string fingerprint;  ///< Equal for identical requests and retries.

  auto operator<=>(const attempt_message&) const = default;
};

/// \brief The entry no longer needs the response.
struct cancel_message {
  attempt_id attempt;

  auto operator<=>(const cancel_message&) const = default;
};

/// \brief The entry has received the entire response; the agent may discard it.
struct acknowledge_message {
  attempt_id attempt;

  auto operator<=>(const acknowledge_message&) const = default;
};

/// \brief Queries the state of an attempt and its response parts from an
/// offset.
struct query_fate_message {
  attempt_id attempt;
  std::uint64_t offset = 0;

  auto operator<=>(const query_fate_message&) const = default;
};

struct answer_part_message {
  attempt_id attempt;
  std::uint64_t offset = 0;  ///< Index of this part in the response.
  model_version version;
  std::string data;

  auto operator<=>(const answer_part_message&) const = default;
};

/// \brief End of a response, or a failure instead of one.
struct answer_end_message {
  attempt_id attempt;
  std::uint64_t parts = 0;
  int http_status = 200;
  std::string content_type;
  bool failed = false;  ///< Whether `problem` and `conclusion` are set.
  error_kind problem = error_kind::kInternalError;
  std::string detail;
  outcome conclusion = outcome::kCompleted;

  auto operator<=>(const answer_end_message&) const = default;
};

enum class attempt_fate { kUnknown, kQueued, kRunning, kRefused, kCompleted };

struct fate_message {
  attempt_id attempt;
  attempt_fate fate = attempt_fate::kUnknown;

  auto operator<=>(const fate_message&) const = default;
};

/// \brief Load of an upstream, sent every 0.2 s.
struct load_report_message {
  std::uint64_t running = 0;
  std::uint64_t queued_tokens = 0;
  double tokens_per_second = 0;
  model_name model;
  model_version version;
  bool accepts_work = false;

  auto operator<=>(const load_report_message&) const = default;
};

/// \brief The sender is shutting down and accepts no new work.
struct leaving_message {
  vm_id vm;

  auto operator<=>(const leaving_message&) const = default;
};

struct configuration_message {
  std::uint64_t revision = 0;
  std::string body;
  std::string body_digest;  ///< SHA-256 of the body, hexadecimal.

  auto operator<=>(const configuration_message&) const = default;
};

struct configuration_request_message {
  std::uint64_t known_revision = 0;

  auto operator<=>(const configuration_request_message&) const = default;
};

/// \brief The most recently read VM list of the platform; `body` is its JSON
/// text. An empty body requests a list with a higher revision.
struct members_message {
  std::uint64_t revision = 0;
  std::string body;

  auto operator<=>(const members_message&) const = default;
};

struct crash_notice_message {
  std::string fingerprint;
  std::uint64_t crashes = 0;

  auto operator<=>(const crash_notice_message&) const = default;
};

struct share_request_message {
  std::uint64_t number = 0;  ///< Unique per sender; echoed in the grant.
  workspace_id workspace;
  double amount = 0;  ///< Fraction of the contract's rate.

  auto operator<=>(const share_request_message&) const = default;
};

struct share_grant_message {
  std::uint64_t number = 0;  ///< Number of the granted request.
  workspace_id workspace;
  double amount = 0;
  std::uint64_t expiry_ms = 0;  ///< Time left when the message was sent.

  auto operator<=>(const share_grant_message&) const = default;
};

/// \brief Chunks available from the sender; `bitmap` is hexadecimal.
struct chunk_have_message {
  std::string manifest;
  std::string bitmap;

  auto operator<=>(const chunk_have_message&) const = default;
};

/// \brief Rollout state of the sender's replica.
struct replica_report_message {
  model_name model;
  std::uint64_t revision = 0;  ///< Configuration revision of the sender.
  model_version version;
  std::string state;  ///< `loading`, `serving`, `failed` or `stopped`.
  bool settled = false;
  bool stopped = false;

  auto operator<=>(const replica_report_message&) const = default;
};

/// \brief The sender's upstream crashed while it was executing these requests.
struct upstream_crashed_message {
  std::vector<std::string> fingerprints;

  auto operator<=>(const upstream_crashed_message&) const = default;
};

using link_message = std::variant<hello_message,
                                  heartbeat_message,
                                  attempt_message,
                                  cancel_message,
                                  acknowledge_message,
                                  query_fate_message,
                                  answer_part_message,
                                  answer_end_message,
                                  fate_message,
                                  load_report_message,
                                  leaving_message,
                                  configuration_message,
                                  configuration_request_message,
                                  members_message,
                                  crash_notice_message,
                                  share_request_message,
                                  share_grant_message,
                                  chunk_have_message,
                                  replica_report_message,
                                  upstream_crashed_message>;

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_LINK_MESSAGES_H_
