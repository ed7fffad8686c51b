#include "program/entry_traffic.h"

#include <string>
#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// An entry becomes ready after this time even if required upstreams are
/// unreachable, so that callers get an error response instead of no connection.
constexpr duration kMaxUpstreamWait = seconds(5);
constexpr duration kReadinessCheckInterval = milliseconds(100);

}  // namespace

entry_traffic::entry_traffic(io_thread& thread,
                             process_context& process,
                             send_function send)
    : thread_(thread),
      process_(process),
      send_(std::move(send)),
      timers_(thread.context()),
      admission_(process, timers_, send_),
      crashes_(process, timers_, send_),
      upstreams_(process, timers_),
      forwarder_(thread.context(),
                 process,
                 timers_,
                 upstreams_,
                 crashes_,
                 send_),
      server_(thread.context(),
              http_limits{},
              [this](http_request request, response_writer& writer) {
                return HandleRequest(std::move(request), writer);
              }) {}

status entry_traffic::Start() {
  const endpoint& listen = *process_.settings().listen;
  const auto port = server_.Listen({listen.address, listen.port});
  if (!IsOk(port)) {
    return ErrorOf(port);
  }
  port_ = ValueOf(port);
  timers_.SubscribePeriodic(kReadinessCheckInterval,
                            [this] { UpdateReadiness(); });
  return std::monostate();
}

void entry_traffic::Drain() {
  server_.Drain();
}

void entry_traffic::UpdateReadiness() {
  if (ready_ || snapshot_->revision == 0 || snapshot_->members_revision == 0) {
    return;
  }
  if (!first_snapshot_) {
    first_snapshot_ = MonotonicNow();
  }
  ready_ = upstreams_.HasRequiredUpstreams() ||
           MonotonicNow() - *first_snapshot_ >= kMaxUpstreamWait;
}

void entry_traffic::OnSnapshot(snapshot_pointer snapshot) {
  snapshot_ = std::move(snapshot);
  admission_.OnSnapshot(*snapshot_);
  upstreams_.OnSnapshot(snapshot_);
}

void entry_traffic::OnPeerConnected(const hello_message& peer) {
  if (peer.role == ToString(process_role::kAgent)) {
    upstreams_.OnAgentConnected(peer.vm, peer.incarnation);
    forwarder_.OnAgentConnected(peer.vm, peer.incarnation);
  } else if (peer.role == ToString(process_role::kEntry)) {
    admission_.OnEntryConnected(peer.vm);
    crashes_.OnEntryConnected(peer.vm);
  }
}

void entry_traffic::OnPeerLost(const vm_id& peer) {
  upstreams_.OnAgentLost(peer);
  forwarder_.OnAgentLost(peer);
  admission_.OnEntryLost(peer);
  crashes_.OnEntryLost(peer);
}

void entry_traffic::OnMessage(const vm_id& peer, link_message message) {
  std::visit(
      overloaded{
          [&](answer_part_message& part) {
            forwarder_.OnMessage(peer, std::move(part));
          },
          [&](answer_end_message& end) {
            forwarder_.OnMessage(peer, std::move(end));
          },
          [&](fate_message& fate) { forwarder_.OnMessage(peer, fate); },
          [&](load_report_message& load) { upstreams_.OnLoad(peer, load); },
          [&](leaving_message&) { upstreams_.OnLeaving(peer); },
          [&](upstream_crashed_message& crashed) {
            crashes_.OnMessage(peer, crashed);
          },
          [&](crash_notice_message& notice) { crashes_.OnMessage(notice); },
          [&](share_request_message& request) {
            admission_.OnMessage(peer, request);
          },
          [&](share_grant_message& grant) {
            admission_.OnMessage(peer, grant);
          },
          [](auto&) {},
      },
      message);
}

const std::array<entry_traffic::filter, 5> entry_traffic::kFilters = {
    &entry_traffic::Identify, &entry_traffic::Admit,  &entry_traffic::Route,
    &entry_traffic::Forward,  &entry_traffic::Answer,
};

awaitable<status> entry_traffic::RunFilter(std::size_t index,
                                           request_context& context,
                                           answer_writer& writer) {
  return (this->*kFilters[index])(context, writer);
}

awaitable<void> entry_traffic::HandleRequest(http_request request,
                                             response_writer& writer) {
  request_context context;
  context.id = {process_.settings().vm, process_.incarnation(),
                ++last_sequence_};
  context.arrival = MonotonicNow();
  context.request = std::move(request);
  context.snapshot = snapshot_;
  process_.Record(event_kind::kRequestReceived,
                  {{"path", std::string(context.request.path())}}, context.id);
  answer_writer answer(context, writer);
  status filter_status;
  for (std::size_t index = 0; IsOk(filter_status) && index < kFilters.size();
       ++index) {
    filter_status = co_await RunFilter(index, context, answer);
  }
  admission_.ReportUsage(context);
  if (!IsOk(filter_status)) {
    co_await answer.Fail(ErrorOf(filter_status));
  }
  RecordAnswer(context, filter_status);
}

void entry_traffic::RecordAnswer(const request_context& context,
                                 const status& ended) {
  const double elapsed = ToSeconds(MonotonicNow() - context.arrival);
  std::string answer = "ok";
  outcome concluded = outcome::kCompleted;
  if (!IsOk(ended)) {
    const error_response& entry = ErrorResponseFor(ErrorOf(ended).kind);
    answer = std::string(entry.name);
    concluded = context.known_outcome.value_or(entry.default_outcome);
  }
  process_.metrics().ObserveSeconds(
      "fireflyslip_request_seconds",
      {{"rank", std::string(ToString(context.rank))}, {"answer", answer}},
      elapsed);
  process_.Record(event_kind::kRequestAnswered,
                  {{"answer", answer},
                   {"outcome", std::string(ToString(concluded))},
                   {"attempts", std::to_string(context.attempts)}},
                  context.id, context.workspace);
}

awaitable<status> entry_traffic::Identify(request_context& context,
                                          answer_writer& /*writer*/) {
  co_return IdentifyRequest(context);
}

awaitable<status> entry_traffic::Admit(request_context& context,
                                       answer_writer& /*writer*/) {
  co_return AdmitRequest(context);
}

awaitable<status> entry_traffic::Route(request_context& context,
                                       answer_writer& /*writer*/) {
  co_return SelectUpstream(context);
}

awaitable<status> entry_traffic::Forward(request_context& context,
                                         answer_writer& writer) {
  return forwarder_.Forward(context, writer);
}

awaitable<status> entry_traffic::Answer(request_context& context,
                                        answer_writer& writer) {
  const bool written =
      co_await writer.Finish(context.http_status, context.content_type);
  if (!written) {
    context.known_outcome = outcome::kCompleted;
    co_return error{error_kind::kOutcomeUnknown, "the caller disconnected"};
  }
  co_return std::monostate();
}

status entry_traffic::AdmitRequest(request_context& context) {
  status admitted = admission_.Admit(context);
  const std::string rank(ToString(context.rank));
  process_.metrics().Count(
      "fireflyslip_admissions_total",
      {{"rank", rank}, {"result", IsOk(admitted) ? "admitted" : "refused"}});
  process_.Record(IsOk(admitted) ? event_kind::kRequestAdmitted
                                 : event_kind::kRequestRefused,
                  {{"rank", rank}}, context.id, context.workspace);
  return admitted;
}

status entry_traffic::SelectUpstream(request_context& context) {
  if (crashes_.IsBlocked(context.fingerprint)) {
    return error{error_kind::kRequestCrashesUpstream,
                 "the request repeatedly crashed upstreams and is blocked"};
  }
  const result<vm_id> upstream = upstreams_.Route(context);
  if (!IsOk(upstream)) {
    return ErrorOf(upstream);
  }
  context.upstream = ValueOf(upstream);
  return std::monostate();
}

}  // namespace fireflyslip
