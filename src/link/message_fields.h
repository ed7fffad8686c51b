#ifndef FIREFLYSLIP_LINK_MESSAGE_FIELDS_H_
#define FIREFLYSLIP_LINK_MESSAGE_FIELDS_H_

#include <type_traits>

#include "fireflyslip/link/messages.h"

/// \brief The fields of each message with their names on the wire, shared by
/// the encoder and the decoder.

namespace fireflyslip::internal {

template <typename Message>
struct message_name;

#define FIREFLYSLIP_MESSAGE_NAME(type)           \
  template <>                                    \
  struct message_name<type##_message> {          \
    static constexpr const char* kValue = #type; \
  }
FIREFLYSLIP_MESSAGE_NAME(hello);
FIREFLYSLIP_MESSAGE_NAME(heartbeat);
FIREFLYSLIP_MESSAGE_NAME(attempt);
FIREFLYSLIP_MESSAGE_NAME(cancel);
FIREFLYSLIP_MESSAGE_NAME(acknowledge);
FIREFLYSLIP_MESSAGE_NAME(query_fate);
FIREFLYSLIP_MESSAGE_NAME(answer_part);
FIREFLYSLIP_MESSAGE_NAME(answer_end);
FIREFLYSLIP_MESSAGE_NAME(fate);
FIREFLYSLIP_MESSAGE_NAME(load_report);
FIREFLYSLIP_MESSAGE_NAME(leaving);
FIREFLYSLIP_MESSAGE_NAME(configuration);
FIREFLYSLIP_MESSAGE_NAME(configuration_request);
FIREFLYSLIP_MESSAGE_NAME(members);
FIREFLYSLIP_MESSAGE_NAME(crash_notice);
FIREFLYSLIP_MESSAGE_NAME(share_request);
FIREFLYSLIP_MESSAGE_NAME(share_grant);
FIREFLYSLIP_MESSAGE_NAME(chunk_have);
FIREFLYSLIP_MESSAGE_NAME(replica_report);
FIREFLYSLIP_MESSAGE_NAME(upstream_crashed);
#undef FIREFLYSLIP_MESSAGE_NAME

template <typename T, typename U>
concept same_message = std::is_same_v<std::remove_const_t<T>, U>;

/// \brief Calls `visit(name, field)` for each field of a message, which may be
/// const. `visit` must accept strings, ids, numbers, enums and attempt ids.
template <same_message<hello_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("vm", m.vm);
  visit("data_centre", m.data_centre);
  visit("role", m.role);
  visit("incarnation", m.incarnation);
  visit("key", m.key);
}

template <same_message<heartbeat_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("sequence", m.sequence);
  visit("configuration_revision", m.configuration_revision);
  visit("members_revision", m.members_revision);
}

template <same_message<attempt_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("attempt", m.attempt);
  visit("workspace", m.workspace);
  visit("weight", m.weight);
  visit("rank", m.rank);
  visit("deadline_ms", m.deadline_ms);
  visit("model", m.model);
  visit("service", m.service);
  visit("method", m.method);
  visit("path", m.path);
  visit("content_type", m.content_type);
  visit("body", m.body);
  visit("key", m.key);
  visit("non_idempotent", m.non_idempotent);
  visit("estimated_tokens", m.estimated_tokens);
  visit("resume_offset", m.resume_offset);
  visit("resume_version", m.resume_version);
  visit("suspect", m.suspect);
  visit("fingerprint", m.fingerprint);
}

template <typename Message, typename Visitor>
requires same_message<Message, cancel_message> ||
    same_message<Message, acknowledge_message>
void VisitFields(Message& m, Visitor&& visit) {
  visit("attempt", m.attempt);
}

template <same_message<query_fate_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("attempt", m.attempt);
  visit("offset", m.offset);
}

template <same_message<answer_part_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("attempt", m.attempt);
  visit("offset", m.offset);
  visit("version", m.version);
  visit("data", m.data);
}

template <same_message<answer_end_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("attempt", m.attempt);
  visit("parts", m.parts);
  visit("http_status", m.http_status);
  visit("content_type", m.content_type);
  visit("failed", m.failed);
  visit("problem", m.problem);
  visit("detail", m.detail);
  visit("conclusion", m.conclusion);
}

template <same_message<fate_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("attempt", m.attempt);
  visit("fate", m.fate);
}

template <same_message<load_report_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("running", m.running);
  visit("queued_tokens", m.queued_tokens);
  visit("tokens_per_second", m.tokens_per_second);
  visit("model", m.model);
  visit("version", m.version);
  visit("accepts_work", m.accepts_work);
}

template <same_message<leaving_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("vm", m.vm);
}

template <typename Message, typename Visitor>
requires same_message<Message, configuration_message>
void VisitFields(Message& m, Visitor&& visit) {
  visit("revision", m.revision);
  visit("body", m.body);
  visit("body_digest", m.body_digest);
}

template <typename Message, typename Visitor>
requires same_message<Message, members_message>
void VisitFields(Message& m, Visitor&& visit) {
  visit("revision", m.revision);
  visit("body", m.body);
}

template <same_message<configuration_request_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("known_revision", m.known_revision);
}

template <same_message<crash_notice_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("fingerprint", m.fingerprint);
  visit("crashes", m.crashes);
}

template <same_message<share_request_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("number", m.number);
  visit("workspace", m.workspace);
  visit("amount", m.amount);
}

template <same_message<share_grant_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("number", m.number);
  visit("workspace", m.workspace);
  visit("amount", m.amount);
  visit("expiry_ms", m.expiry_ms);
}

template <same_message<chunk_have_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("manifest", m.manifest);
  visit("bitmap", m.bitmap);
}

template <same_message<replica_report_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("model", m.model);
  visit("revision", m.revision);
  visit("version", m.version);
  visit("state", m.state);
  visit("settled", m.settled);
  visit("stopped", m.stopped);
}

template <same_message<upstream_crashed_message> Message, typename Visitor>
void VisitFields(Message& m, Visitor&& visit) {
  visit("fingerprints", m.fingerprints);
}

}  // namespace fireflyslip::internal

#endif  // FIREFLYSLIP_LINK_MESSAGE_FIELDS_H_
