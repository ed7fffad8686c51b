#ifndef FIREFLYSLIP_PROGRAM_REQUEST_CONTEXT_H_
#define FIREFLYSLIP_PROGRAM_REQUEST_CONTEXT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflyslip/core.h"
#include "fireflyslip/http.h"
#include "program/fleet_snapshot.h"

namespace fireflyslip {

/// \brief State of a request while it passes through the filters of the entry.
struct request_context {
  request_id id;
  time_point arrival;
  time_point deadline;
  http_request request;
  /// The configuration in force when the request arrived.
  snapshot_pointer snapshot;

  // Set by the filter `identify`.
  workspace_id workspace;
  double weight = 1;
  request_rank rank = request_rank::kStandard;
  model_name model;      ///< Empty for a service call.
  service_name service;  ///< Empty for a model request.
  std::string service_path;
  idempotency_key key;
  bool non_idempotent = false;
  bool streaming = false;
  std::uint64_t estimated_tokens = 0;
  std::uint64_t prefix_hash = 0;  ///< Of the start of the prompt; 0 for none.
  std::string fingerprint;        ///< Same for repetitions of the request.

  // Set by the filter `admit`.
  bool admitted = false;
  /// Whether it was admitted from the startup allowance, beyond the share that
  /// the entry holds just after its start.
  bool from_startup_allowance = false;

  // Set by the filter `route`.
  vm_id upstream;

  // Set by the filter `forward`.
  bool response_started = false;
  std::uint32_t attempts = 0;
  std::uint64_t parts = 0;
  /// Whether an attempt has run or may have run.
  bool may_have_run = false;
  int http_status = 200;
  std::string content_type;
  /// Outcome of the request, if it differs from the default of its error.
  std::optional<outcome> known_outcome;
  std::optional<duration> retry_after;
};

/// \brief Sets the fields of the filter `identify` from the request line, the
/// headers and the body. Fails with the error for the caller.
status IdentifyRequest(request_context& context);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_REQUEST_CONTEXT_H_
