#include "fireflyslip/core/error.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace fireflyslip {
namespace {

using enum error_kind;
using enum outcome;

constexpr std::array<error_response, 22> kErrorResponses = {{
    {kInvalidRequest, "invalid_request", "The request is not valid.", 400,
     kNotRun, false},
    {kUnauthorized, "unauthorized", "The caller key is missing or unknown.",
     401, kNotRun, false},
    {kNotFound, "not_found", "No such resource.", 404, kNotRun, false},
    {kConflict, "conflict", "The resource changed in the meantime.", 409,
     kNotRun, false},
    {kPayloadTooLarge, "payload_too_large", "The body is too large.", 413,
     kNotRun, false},
    {kHeaderTooLarge, "header_too_large", "The header is too large.", 431,
     kNotRun, false},
    {kRateLimited, "rate_limited", "The workspace is over its contract rate.",
     429, kNotRun, true},
    {kIdempotencyKeyRequired, "idempotency_key_required",
     "This call needs an Idempotency-Key header.", 400, kNotRun, false},
    {kRequestCrashesUpstream, "request_crashes_upstream",
     "The request crashed the upstreams that ran it.", 422, kNotRun, false},
    {kDeadlineExceeded, "deadline_exceeded",
     "The deadline passed before the request was run.", 504, kNotRun, false},
    {kNoUpstream, "no_upstream", "No upstream is in reach.", 503, kNotRun,
     true},
    {kUpstreamLeaving, "upstream_leaving", "The upstream is leaving.", 503,
     kNotRun, true},
    {kOverloaded, "overloaded", "The queue is full.", 503, kNotRun, true},
    {kPlatformUnavailable, "platform_unavailable",
     "The platform's object API is out of reach.", 503, kNotRun, true},
    {kJournalFull, "journal_full", "The booking journal is full.", 503, kNotRun,
     true},
    {kOutcomeUnknown, "outcome_unknown",
     "It is not known whether the request was run.", 502, kUnknown, false},
    {kVersionChanged, "version_changed",
     "The model version changed during the answer.", 502, kUnknown, true},
    {kUpstreamFailed, "upstream_failed", "The upstream failed.", 502, kUnknown,
     true},
    {kResponseTooLarge, "response_too_large",
     "The response of the upstream exceeds a limit.", 502, kUnknown, true},
    {kCorruptData, "corrupt_data", "Data failed its digest check.", 502,
     kNotRun, true},
    {kProtocolError, "protocol_error", "The peer broke the protocol.", 400,
     kNotRun, false},
    {kInternalError, "internal_error", "Internal error.", 500, kUnknown, false},
}};

}  // namespace

const error_response& ErrorResponseFor(error_kind kind) {
  const auto* found = std::find_if(
      kErrorResponses.begin(), kErrorResponses.end(),
      [kind](const error_response& response) { return response.kind == kind; });
  assert(found != kErrorResponses.end());
  return *found;
}

std::optional<error_kind> ParseErrorKind(std::string_view name) {
  for (const error_response& response : kErrorResponses) {
    if (response.name == name) {
      return response.kind;
    }
  }
  return std::nullopt;
}

std::string_view ToString(outcome value) {
  switch (value) {
    case kNotRun:
      return "not_run";
    case kUnknown:
      return "unknown";
    case kCompleted:
      return "completed";
  }
  return "unknown";
}

std::optional<outcome> ParseOutcome(std::string_view name) {
  for (const outcome value : {kNotRun, kUnknown, kCompleted}) {
    if (ToString(value) == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace fireflyslip
