#include "gateway/exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "fireflyslip/core/hash.h"
#include "fireflyslip/runtime.h"
#include "gateway/gateway.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;
/// Used if neither the client nor the route sets a timeout.
constexpr seconds kDefaultRequestTimeout{60};
/// Limit for the placement of an interrupted stream on another upstream;
/// clients disconnect after a gap of two seconds or more.
constexpr milliseconds kResumePlacementTimeout{1500};
/// Clients of a stream disconnect after a gap of this length, or of these
/// multiples of the route's target latency and target gap, whichever is
/// longest.
constexpr seconds kMinClientGapTimeout{2};
constexpr int kGapTimeoutLatencyFactor = 4;
constexpr int kGapTimeoutGapFactor = 8;
/// Fraction of the client's gap timeout after which a stream without data is
/// resumed on another upstream. The rest is for the second upstream.
constexpr double kStreamReadTimeoutFraction = 0.5;
/// Fraction of the request timeout after which an idempotent request is
/// retried.
constexpr double kReadTimeoutFraction = 0.5;
/// Remaining time below which another attempt cannot complete.
constexpr milliseconds kMinAttemptTime{30};
/// Longest response that is kept in memory, and longest event of a stream. An
/// upstream in trouble may send bytes without end.
constexpr std::size_t kMaxResponseBytes = 8UL << 20;
constexpr std::size_t kMaxEventBytes = 1UL << 20;
/// A stream that goes on for this time after its first event has not crashed
/// its upstream.
constexpr milliseconds kSurvivalTime{500};
/// Longest idle time of a connection for a non-idempotent request: the upstream
/// may be about to close an older one, which would leave the outcome unknown.
constexpr milliseconds kNonIdempotentMaxIdle{800};
constexpr seconds kRepeatableMaxIdle{10};

std::string_view HostOf(const http_request& request) {
  return request.Field("Host");
}

http_response WithoutHopByHopFields(const http_response& head) {
  http_response response;
  response.status = head.status;
  response.fields.reserve(head.fields.size());
  for (const http_field& field : head.fields) {
    if (!platform::IsHopByHopField(field.name)) {
      response.fields.push_back(field);
    }
  }
  return response;
}

/// Orders by workspace priority, then by route priority.
int CombinedPriority(int workspace, int route) {
  constexpr int kLevels = 3;
  return std::clamp(workspace, 0, kLevels - 1) * kLevels +
         std::clamp(route, 0, kLevels - 1);
}

std::string_view ToString(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kNotSent:
      return "not_sent";
    case attempt_outcome::kNotRun:
      return "not_run";
    case attempt_outcome::kMayHaveRun:
      return "may_have_run";
    case attempt_outcome::kRanAndFailed:
      return "failed";
  }
  return "-";
}

std::string Milliseconds(std::optional<duration> value) {
  return value ? std::to_string(value->count() / 1000) : "-";
}

}  // namespace

exchange::exchange(gateway& parent,
                   dispatch_id id,
                   http_request request,
                   response_writer& client)
    : gateway_(parent),
      id_(id),
      request_(std::move(request)),
      client_(client),
      metadata_(platform::DecodeRequestMetadata(request_)),
      catalog_(parent.catalog()),
      received_at_(MonotonicNow()),
      placement_event_(parent.context()),
      deadline_timer_(parent.context()),
      cursor_(metadata_.last_event_id) {
  // All attempts send the same copy.
  request_.shared_body =
      std::make_shared<const std::string>(std::move(request_.body));
  request_.body.clear();
}

awaitable<void> exchange::Run() {
  const auto self = shared_from_this();
  std::optional<error> problem = MatchRoute();
  if (!problem) {
    problem = Authorize();
  }
  if (!problem) {
    problem = CheckDraining();
  }
  if (problem) {
    co_await SendProblem(*problem);
    LogOutcome();
    co_return;
  }
  StartDeadlineTimer();
  client_.NotifyClosed([weak = weak_from_this()] {
    if (const auto shared_this = weak.lock()) {
      shared_this->Cancel(cancel_cause::kClientDisconnected);
    }
  });
  gateway_.RetryBudget(service_).CountRequest(received_at_);
  content_ = ContentFingerprint();
  suspect_ = gateway_.crashes().IsSuspect(content_);
  attempt_report previous;
  for (;;) {
    const bool placed = co_await AwaitPlacement();
    if (!placed) {
      break;
    }
    if (!ConfirmRetry()) {
      gateway_.Handle(
          dispatcher::attempt_completed{id_, attempt_status::kAbandoned});
      const retry_decision decision =
          previous.outcome == attempt_outcome::kRanAndFailed
              ? retry_decision::kForwardError
          : history_.may_have_run == 0 ? retry_decision::kRefuse
                                       : retry_decision::kReportUnknown;
      co_await SendFailure(decision, previous);
      break;
    }
    gateway_.crashes().AttemptStarted(id_, placement_->upstream,
                                      metadata_.shared_prompt_parts, content_);
    attempt_report report = co_await RunAttempt();
    if (report.outcome != attempt_outcome::kNotSent) {
      retry_taken_at_.reset();
    }
    if (report.end != attempt_end::kResponse) {
      gateway_.probe().Start(placement_->upstream);
    }
    gateway_.crashes().AttemptEnded(id_, report.end, MonotonicNow());
    gateway_.Handle(dispatcher::attempt_completed{id_, report.status});
    if (report.delivered) {
      break;
    }
    RecordFailedTry(report);
    refused_ = report.refused;
    if (cancel_cause_ != cancel_cause::kNone) {
      break;
    }
    last_failure_ = report.detail;
    // Each try of a request that crashes upstreams costs one more of them.
    const bool may_crash = suspect_ && report.end == attempt_end::kInterrupted;
    const retry_decision decision =
        DecideRetry(*route_, history_, report.outcome, [&] {
          return !may_crash && RemainingTime() > kMinAttemptTime && TakeRetry();
        });
    if (decision != retry_decision::kRetryElsewhere) {
      co_await SendFailure(decision, report);
      break;
    }
    previous = std::move(report);
  }
  if (retry_taken_at_) {
    gateway_.RetryBudget(service_).Return(*retry_taken_at_, MonotonicNow());
  }
  // The deadline may pass while a slow client reads the response.
  if (cancel_cause_ != cancel_cause::kNone && !response_sent_) {
    co_await SendCancellation();
  }
  deadline_timer_.cancel();
  LogOutcome();
}

void exchange::OnPlaced(const dispatcher::start& placement) {
  placement_ = placement;
  placement_event_.cancel();
}

void exchange::OnRejected(const dispatcher::refuse& rejection) {
  rejection_ = rejection;
  placement_event_.cancel();
}

void exchange::LimitDeadline(time_point answer_by) {
  if (answer_by < deadline_) {
    deadline_ = answer_by;
    limited_by_stop_ = true;
    StartDeadlineTimer();
  }
}

std::optional<error> exchange::MatchRoute() {
  if (!catalog_) {
    return error{error_kind::kPlatformUnavailable,
                 "no configuration has been received yet"};
  }
  route_ = catalog_->routes.Find(HostOf(request_), request_.path());
  if (route_ == nullptr) {
    return error{error_kind::kNotFound, "no route matches the request"};
  }
  priority_ = CombinedPriority(route_->priority, route_->priority);
  double total_weight = 0;
  for (const weighted_service& part : route_->services) {
    total_weight += part.weight;
  }
  double point = gateway_.Random() * total_weight;
  for (const weighted_service& part : route_->services) {
    service_ = part.service;
    point -= part.weight;
    if (point < 0) {
      break;
    }
  }
  const duration client_timeout =
      metadata_.time_left.value_or(duration(kDefaultRequestTimeout));
  const duration route_timeout = route_->timeout.count() > 0
                                     ? route_->timeout
                                     : duration(kDefaultRequestTimeout);
  timeout_ = std::min(client_timeout, route_timeout);
  deadline_ = received_at_ + timeout_;
  return std::nullopt;
}

std::optional<error> exchange::Authorize() {
  if (!catalog_->keys_required || route_->public_access) {
    return std::nullopt;
  }
  const workspace_grant* grant = catalog_->FindKey(metadata_.api_key);
  // With a stale key list, an unknown key may be new and a known key may have
  // been revoked, so neither is decided.
  if (gateway_.AreKeysStale()) {
    return error{error_kind::kPlatformUnavailable,
                 "the API key list is out of date"};
  }
  if (grant == nullptr) {
    return error{error_kind::kUnauthorized, "unknown API key"};
  }
  workspace_ = grant->workspace;
  priority_ = CombinedPriority(grant->priority.value_or(route_->priority),
                               route_->priority);
  return std::nullopt;
}

std::optional<error> exchange::CheckDraining() {
  const std::optional<time_point> answer_by = gateway_.answer_by();
  if (!answer_by) {
    return std::nullopt;
  }
  draining_arrival arrival;
  arrival.idempotency = route_->idempotency_class;
  arrival.time_left = RemainingTime();
  arrival.expected_duration = ExpectedDuration();
  switch (DecideWhileDraining(arrival, *answer_by - MonotonicNow())) {
    case drain_decision::kRefuse:
      return error{error_kind::kUpstreamLeaving, "the gateway is stopping"};
    case drain_decision::kLimitDeadline:
      LimitDeadline(*answer_by);
      break;
    case drain_decision::kAccept:
      break;
  }
  return std::nullopt;
}

void exchange::Cancel(cancel_cause cause) {
  if (cancel_cause_ != cancel_cause::kNone) {
    return;
  }
  cancel_cause_ = cause;
  if (canceller_) {
    canceller_->Cancel();
  }
  placement_event_.cancel();
}

void exchange::StartDeadlineTimer() {
  deadline_timer_.expires_after(std::max(RemainingTime(), duration(0)));
  deadline_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& code) {
        const auto shared_this = weak.lock();
        if (!code && shared_this) {
          shared_this->deadline_delay_ = -shared_this->RemainingTime();
          shared_this->Cancel(shared_this->limited_by_stop_
                                  ? cancel_cause::kGatewayStopping
                                  : cancel_cause::kDeadlinePassed);
        }
      });
}

bool exchange::IsBlocked() const {
  return !stream_started_ &&
         (gateway_.crashes().IsBlocked(content_) ||
          gateway_.crashes().IsBlocked(metadata_.shared_prompt_parts));
}

bool exchange::TakeRetry() {
  const time_point now = MonotonicNow();
  if (!gateway_.RetryBudget(service_).Take(now, gateway_.RetryAllowance())) {
    return false;
  }
  retry_taken_at_ = now;
  return true;
}

bool exchange::ConfirmRetry() {
  if (!retry_taken_at_) {
    return true;
  }
  gateway_.RetryBudget(service_).Return(*retry_taken_at_, MonotonicNow());
  retry_taken_at_.reset();
  return TakeRetry();
}

region_restriction exchange::AllowedRegions() const {
  const auto allowed_by = [this](const deployment& catalog) {
    region_restriction regions;
    if (const route* found =
            catalog.routes.Find(HostOf(request_), request_.path())) {
      regions = found->regions;
    }
    const workspace_grant* grant = catalog.FindKey(metadata_.api_key);
    if (grant != nullptr && grant->workspace == workspace_) {
      regions = regions.Intersect(grant->regions);
    }
    return regions;
  };
  const region_restriction at_arrival = allowed_by(*catalog_);
  return gateway_.catalog() == catalog_
             ? at_arrival
             : at_arrival.Intersect(allowed_by(*gateway_.catalog()));
}

awaitable<bool> exchange::AwaitPlacement() {
  if (IsBlocked()) {
    co_await SendBlocked();
    co_return false;
  }
  placement_.reset();
  rejection_.reset();
  const time_point now = MonotonicNow();
  const bool first = history_.tried == 0;
  dispatcher::submit submission;
  submission.id = id_;
  submission.service = service_;
  submission.model = metadata_.model;
  submission.workspace = workspace_;
  submission.priority = priority_;
  submission.urgency = route_->priority;
  submission.cost = EstimatedCost();
  submission.prefill_time = EstimatedPrefillTime();
  submission.resubmitted = !first;
  submission.refused = refused_ && !stream_started_;
  submission.response_due = stream_started_
                                ? now + kResumePlacementTimeout
                                : received_at_ + route_->target_latency;
  submission.client_deadline = deadline_;
  submission.excluded = excluded_upstreams_;
  submission.regions = AllowedRegions();
  submission.version = stream_started_ ? stream_version_ : std::nullopt;
  gateway_.Submit(std::move(submission));
  waits_for_ = "placement";
  while (!placement_ && !rejection_ && cancel_cause_ == cancel_cause::kNone) {
    boost::system::error_code ignored;
    placement_event_.expires_at(boost::asio::steady_timer::time_point::max());
    co_await placement_event_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  // It may have been blocked while the request was queued.
  if (placement_ && cancel_cause_ == cancel_cause::kNone && IsBlocked()) {
    gateway_.Handle(
        dispatcher::attempt_completed{id_, attempt_status::kAbandoned});
    co_await SendBlocked();
    co_return false;
  }
  // The configuration may have changed while the request was queued.
  if (placement_ && cancel_cause_ == cancel_cause::kNone &&
      !AllowedRegions().Allows(
          gateway_.settings().RegionOf(placement_->upstream.data_centre))) {
    gateway_.Handle(
        dispatcher::attempt_completed{id_, attempt_status::kAbandoned});
    const bool placed = co_await AwaitPlacement();
    co_return placed;
  }
  if (placement_ && cancel_cause_ == cancel_cause::kNone) {
    if (first) {
      placement_delay_ = MonotonicNow() - received_at_;
    }
    co_return true;
  }
  if (placement_) {
    gateway_.Handle(
        dispatcher::attempt_completed{id_, attempt_status::kAbandoned});
  } else {
    gateway_.Handle(dispatcher::cancel_waiting{id_});
  }
  if (rejection_ && cancel_cause_ == cancel_cause::kNone) {
    if (stream_started_) {
      response_sent_ = true;
      client_.Abort();
      outcome_ = "stream_broken";
    } else {
      const error_kind kind = history_.may_have_run > 0
                                  ? error_kind::kOutcomeUnknown
                                  : rejection_->kind;
      const error problem{kind, "rejected by placement"};
      co_await SendProblem(problem);
    }
  }
  co_return false;
}

awaitable<exchange::attempt_report> exchange::RunAttempt() {
  ++history_.tried;
  const upstream_entry& upstream = placement_->upstream;
  upstream_ = upstream.id.value();
  excluded_upstreams_.insert(upstream.id);
  const time_point started_at = MonotonicNow();
  const auto endpoint = ParseHttpEndpoint(upstream.address);
  if (!endpoint) {
    attempt_report report;
    report.outcome = attempt_outcome::kNotSent;
    report.status = attempt_status::kUnreachable;
    report.detail = "malformed upstream address";
    co_return report;
  }
  const bool repeatable =
      route_->idempotency_class != request_idempotency::kNonIdempotent;
  duration read_timeout =
      repeatable ? std::min(ReadTimeout(), RemainingTime()) : RemainingTime();
  const bool has_start_deadline =
      repeatable && placement_->start_deadline &&
      *placement_->start_deadline - started_at < read_timeout;
  if (has_start_deadline) {
    read_timeout =
        std::max(*placement_->start_deadline - started_at, duration(0));
  }
  // Only on a new connection can a response be told from an earlier one without
  // an id.
  const bool only_first_is_certain =
      metadata_.attempt_id.empty() ||
      (!repeatable && !gateway_.NamesAllResponses(upstream));
  const duration max_idle = only_first_is_certain ? duration(0)
                            : repeatable          ? duration(kRepeatableMaxIdle)
                                         : duration(kNonIdempotentMaxIdle);
  canceller_ = std::make_shared<call_canceller>();
  waits_for_ = "response";
  http_request message = MakeUpstreamRequest();
  const auto opened = co_await gateway_.upstream_client().Open(
      *endpoint, std::move(message), read_timeout, max_idle, canceller_,
      metadata_.attempt_id);
  const auto report_failure = [&](const error& problem) {
    attempt_report report =
        MakeFailureReport(started_at, read_timeout, problem);
    if (has_start_deadline && report.status == attempt_status::kUnreachable) {
      report.status = attempt_status::kAbandoned;
    }
    if (report.outcome != attempt_outcome::kNotSent) {
      ++history_.may_have_run;
    }
    return report;
  };
  if (!IsOk(opened)) {
    co_return report_failure(ErrorOf(opened));
  }
  const std::shared_ptr<response_reader> reader = ValueOf(opened);
  const status skipped =
      co_await SkipRepeatedResponses(*reader, started_at + read_timeout);
  attempt_report report;
  if (IsOk(skipped)) {
    report = co_await ReadResponse(reader);
    report.response_status = reader->head().status;
  } else {
    report = report_failure(ErrorOf(skipped));
  }
  report.connection_reused = reader->connection_reused();
  co_return report;
}

awaitable<status> exchange::SkipRepeatedResponses(response_reader& reader,
                                                  time_point until) {
  constexpr int kMaxSkipped = 4;
  for (int i = 0; i < kMaxSkipped && reader.connection_reused() &&
                  IsResponseToOther(reader.head());
       ++i) {
    gateway_.counters().Count("repeated_responses_skipped", {});
    const duration timeout = std::max(until - MonotonicNow(), duration(0));
    const status skipped = co_await reader.SkipResponse(timeout);
    if (!IsOk(skipped)) {
      co_return skipped;
    }
  }
  co_return std::monostate{};
}

bool exchange::IsResponseToOther(const http_response& head) const {
  const std::string id = platform::DecodeResponseMetadata(head).attempt_id;
  return !id.empty() && id != metadata_.attempt_id;
}

awaitable<exchange::attempt_report> exchange::ReadResponse(
    std::shared_ptr<response_reader> reader) {
  const upstream_entry& upstream = placement_->upstream;
  const platform::response_metadata response =
      platform::DecodeResponseMetadata(reader->head());
  attempt_report report;
  if (IsResponseToOther(reader->head())) {
    ++history_.may_have_run;
    report.status = attempt_status::kFailed;
    report.detail = "answer to another request";
    co_return report;
  }
  if (response.attempt_id.empty() && !metadata_.attempt_id.empty()) {
    gateway_.RecordUnnamedResponse(upstream);
  }
  // A response that does not name its request may be an earlier one once more.
  if (response.attempt_id.empty() && reader->connection_reused()) {
    ++history_.may_have_run;
    report.status = attempt_status::kFailed;
    report.detail = "response without a request id on a reused connection";
    co_return report;
  }
  if (response.advice) {
    gateway_.Handle(dispatcher::upstream_advised{upstream, *response.advice});
  }
  if (response.not_executed) {
    report.outcome = attempt_outcome::kNotRun;
    report.status = attempt_status::kRefused;
    report.refused = response.advice.has_value();
    report.detail = "upstream did not run the request, status " +
                    std::to_string(reader->head().status);
    co_await reader->Read(ReadTimeout());
    Release(*reader, /*delivered=*/false);
    co_return report;
  }
  ++history_.may_have_run;
  if (route_->streaming && reader->head().status == kStatusOk &&
      response.event_stream) {
    if (!response.has_signature) {
      report.status = attempt_status::kFailed;
      report.detail = "stream without a signature";
      co_return report;
    }
    if (stream_started_ && stream_version_ &&
        response.version != stream_version_) {
      report.status = attempt_status::kFailed;
      report.detail = "stream resumed on other weights";
      co_return report;
    }
    stream_version_ = response.version;
    co_return co_await ForwardStream(reader);
  }
  co_return co_await ForwardResponse(reader);
}

awaitable<exchange::attempt_report> exchange::ForwardResponse(
    std::shared_ptr<response_reader> reader) {
  const time_point started_at = MonotonicNow();
  const bool repeatable =
      route_->idempotency_class != request_idempotency::kNonIdempotent;
  http_response response = WithoutHopByHopFields(reader->head());
  memory_reservation held(gateway_.response_memory());
  while (!reader->complete()) {
    const duration read_timeout =
        repeatable ? std::min(ReadTimeout(), RemainingTime()) : RemainingTime();
    const auto part = co_await reader->Read(read_timeout);
    if (!IsOk(part)) {
      co_return MakeFailureReport(started_at, read_timeout, ErrorOf(part));
    }
    const std::size_t size = response.body.size() + ValueOf(part).size();
    if (size > kMaxResponseBytes) {
      co_return OversizeReport(response_part::kBody, kMaxResponseBytes);
    }
    if (!held.Resize(size)) {
      co_return OversizeReport(response_part::kTotal,
                               gateway_.response_memory()->max_bytes());
    }
    response.body += ValueOf(part);
  }
  if (auto failed = CheckResponse(response)) {
    Release(*reader, /*delivered=*/false);
    if (failed->outcome == attempt_outcome::kRanAndFailed) {
      gateway_.crashes().AttemptSurvived(id_, MonotonicNow());
      failed->upstream_response = std::move(response);
    }
    co_return *std::move(failed);
  }
  Release(*reader, /*delivered=*/true);
  attempt_report report;
  gateway_.crashes().AttemptBegun(id_, MonotonicNow());
  gateway_.crashes().AttemptSurvived(id_, MonotonicNow());
  response_delay_ = MonotonicNow() - received_at_;
  status_ = response.status;
  outcome_ = "answered";
  report.delivered = true;
  response_sent_ = true;
  MarkWriting();
  co_await client_.Send(std::move(response));
  co_return report;
}

void exchange::Release(response_reader& reader, bool delivered) {
  // If it is repeated, a response without an id could be meant for any request.
  if (platform::DecodeResponseMetadata(reader.head()).attempt_id.empty()) {
    return;
  }
  if (delivered) {
    reader.ReleaseConnection();
  } else {
    reader.ReleaseForOtherRequests();
  }
}

std::optional<exchange::attempt_report> exchange::CheckResponse(
    const http_response& response) const {
  attempt_report report;
  report.status = attempt_status::kFailed;
  const platform::response_metadata metadata =
      platform::DecodeResponseMetadata(response);
  if (platform::IsRefusalStatus(response.status)) {
    report.detail = "status " + std::to_string(response.status) +
                    " without the statement that the request was not run";
    return report;
  }
  // Without a signature, a client takes the error for one of this system.
  if (response.status < kFirstServerError && !metadata.has_signature) {
    report.detail = "response without a signature";
    return report;
  }
  if (response.status >= kFirstServerError || stream_started_) {
    report.outcome = attempt_outcome::kRanAndFailed;
    report.detail = "status " + std::to_string(response.status);
    return report;
  }
  return std::nullopt;
}

awaitable<exchange::attempt_report> exchange::ForwardStream(
    std::shared_ptr<response_reader> reader) {
  attempt_report report;
  cursor_.Restart();
  memory_reservation held(gateway_.response_memory());
  // Only complete events count as progress: a stalled upstream may still send a
  // byte now and then.
  time_point progress_at = MonotonicNow();
  std::optional<time_point> begun_at;
  bool progressed = false;
  while (!reader->complete()) {
    const time_point started_at = MonotonicNow();
    const duration read_timeout = std::max(
        duration(0),
        std::min(progress_at + ReadTimeout() - started_at, RemainingTime()));
    const auto part = co_await reader->Read(read_timeout);
    if (!IsOk(part)) {
      co_return MakeFailureReport(started_at, read_timeout, ErrorOf(part));
    }
    std::string events = cursor_.Feed(ValueOf(part));
    if (cursor_.partial_event_bytes() > kMaxEventBytes) {
      co_return OversizeReport(response_part::kEvent, kMaxEventBytes);
    }
    if (!held.Resize(cursor_.partial_event_bytes())) {
      co_return OversizeReport(response_part::kTotal,
                               gateway_.response_memory()->max_bytes());
    }
    if (events.empty()) {
      continue;
    }
    gateway_.Handle(dispatcher::response_begun{id_});
    gateway_.crashes().AttemptBegun(id_, MonotonicNow());
    begun_at = begun_at.value_or(MonotonicNow());
    if (MonotonicNow() - *begun_at >= kSurvivalTime) {
      gateway_.crashes().AttemptSurvived(id_, MonotonicNow());
    }
    const bool written =
        co_await WriteEvents(reader->head(), std::move(events));
    if (!written) {
      Cancel(cancel_cause::kClientDisconnected);
      report.status = attempt_status::kAbandoned;
      co_return report;
    }
    progressed = true;
    progress_at = MonotonicNow();  // the client may have taken its time
  }
  // Without a length or chunks, a connection that ends after the head looks
  // like a stream without events.
  const bool framed = !reader->head().Field("Transfer-Encoding").empty() ||
                      !reader->head().Field("Content-Length").empty();
  if (cursor_.has_partial_event() || !stream_started_ ||
      (!progressed && !framed)) {
    report.status = attempt_status::kFailed;
    report.detail = "stream ended within an event or before the first one";
    co_return report;
  }
  gateway_.crashes().AttemptSurvived(id_, MonotonicNow());
  Release(*reader, /*delivered=*/true);
  report.delivered = true;
  outcome_ = "answered";
  response_sent_ = true;
  MarkWriting();
  co_await client_.End();
  co_return report;
}

exchange::attempt_report exchange::OversizeReport(response_part part,
                                                  std::size_t limit) const {
  attempt_report report;
  report.status = attempt_status::kFailed;
  const auto server = ParseHttpEndpoint(placement_->upstream.address);
  report.detail =
      RejectOversizeResponse(server.value_or(http_endpoint{}), part, limit)
          .detail;
  return report;
}

awaitable<bool> exchange::WriteEvents(const http_response& head,
                                      std::string events) {
  if (!stream_started_) {
    stream_started_ = true;
    response_delay_ = MonotonicNow() - received_at_;
    status_ = head.status;
    http_response begin = WithoutHopByHopFields(head);
    const bool begun = co_await client_.Begin(std::move(begin));
    if (!begun) {
      co_return false;
    }
  }
  co_return co_await client_.Write(std::move(events));
}

awaitable<void> exchange::SendFailure(retry_decision decision,
                                      const attempt_report& report) {
  response_sent_ = true;
  MarkWriting();
  if (stream_started_) {
    // Without the final chunk, the client detects the truncated body.
    client_.Abort();
    outcome_ = "stream_broken";
    co_return;
  }
  if (decision == retry_decision::kForwardError && report.upstream_response) {
    status_ = report.upstream_response->status;
    outcome_ = "upstream_failure";
    http_response upstream_response = *report.upstream_response;
    co_await client_.Send(std::move(upstream_response));
    co_return;
  }
  const error_kind kind = decision == retry_decision::kRefuse
                              ? error_kind::kOverloaded
                              : error_kind::kOutcomeUnknown;
  const error problem{kind, report.detail};
  co_await SendProblem(problem);
}

awaitable<void> exchange::SendBlocked() {
  const error problem{error_kind::kRequestCrashesUpstream,
                      gateway_.crashes().IsBlocked(content_)
                          ? "the request crashes upstreams"
                          : "a part of the prompt crashes upstreams"};
  co_await SendProblem(problem);
}

awaitable<void> exchange::SendProblem(const error& problem) {
  /// Retry delay for rejections that do not depend on the load.
  constexpr milliseconds kDefaultDelay{300};
  /// Other gateways can take the request at once.
  constexpr milliseconds kGatewayStoppingDelay{50};
  const error_response& known = ErrorResponseFor(problem.kind);
  const outcome known_outcome =
      history_.may_have_run > 0 ? outcome::kUnknown : known.default_outcome;
  http_response response =
      ProblemResponse(problem, std::nullopt, known_outcome);
  std::erase_if(response.fields, [](const http_field& field) {
    return field.name == "Retry-After";
  });
  if (known.retry_after && known.default_outcome == outcome::kNotRun) {
    const duration delay = problem.kind == error_kind::kUpstreamLeaving
                               ? kGatewayStoppingDelay
                               : kDefaultDelay;
    platform::SetRetryAfter(response,
                            rejection_ ? rejection_->retry_after : delay);
  }
  status_ = response.status;
  outcome_ = std::string(known.name);
  response_sent_ = true;
  MarkWriting();
  co_await client_.Send(std::move(response));
}

void exchange::MarkWriting() {
  if (!deadline_delay_) {
    waits_for_ = "write";
  }
  write_started_at_ = MonotonicNow();
}

awaitable<void> exchange::SendCancellation() {
  if (cancel_cause_ == cancel_cause::kClientDisconnected) {
    outcome_ = "client_left";
    client_.Abort();
    co_return;
  }
  const bool stopping = cancel_cause_ == cancel_cause::kGatewayStopping;
  if (stream_started_) {
    outcome_ = stopping ? "stream_broken" : "stream_timed_out";
    client_.Abort();
    co_return;
  }
  if (stopping) {
    const error problem{history_.may_have_run > 0
                            ? error_kind::kOutcomeUnknown
                            : error_kind::kUpstreamLeaving,
                        "the gateway stops before the response"};
    co_await SendProblem(problem);
    outcome_ = "stopped";
    co_return;
  }
  const error problem{history_.tried > 0 ? error_kind::kDeadlineExceeded
                                         : error_kind::kOverloaded,
                      "no response before the deadline"};
  co_await SendProblem(problem);
  outcome_ = "timed_out";
}

http_request exchange::MakeUpstreamRequest() const {
  platform::attempt_fields fields;
  fields.upstream = placement_->upstream.id;
  fields.workspace = workspace_;
  fields.time_left = std::max(RemainingTime(), duration(milliseconds(1)));
  fields.priority = priority_;
  if (stream_started_) {
    fields.last_event_id = cursor_.last_event_id();
    fields.version = stream_version_;
  }
  return platform::EncodeAttempt(request_, fields);
}

exchange::attempt_report exchange::MakeFailureReport(
    time_point started_at,
    duration read_timeout,
    const error& problem) const {
  attempt_report report;
  report.detail = problem.detail;
  if (cancel_cause_ != cancel_cause::kNone) {
    report.status = attempt_status::kAbandoned;
    report.end = cancel_cause_ == cancel_cause::kDeadlinePassed
                     ? attempt_end::kSilent
                     : attempt_end::kResponse;
    return report;
  }
  if (problem.kind == error_kind::kNoUpstream) {
    report.outcome = attempt_outcome::kNotSent;
    report.status = attempt_status::kUnreachable;
    return report;
  }
  const bool timed_out = MonotonicNow() - started_at >= read_timeout;
  report.status =
      timed_out ? attempt_status::kUnreachable : attempt_status::kFailed;
  // An upstream that sends too much has not crashed.
  if (problem.kind != error_kind::kResponseTooLarge) {
    report.end = timed_out ? attempt_end::kSilent : attempt_end::kInterrupted;
  }
  return report;
}

duration exchange::RemainingTime() const {
  return deadline_ - MonotonicNow();
}

duration exchange::ReadTimeout() const {
  if (route_->streaming) {
    const duration gap_timeout =
        std::max<duration>({kMinClientGapTimeout,
                            route_->target_latency * kGapTimeoutLatencyFactor,
                            route_->target_gap * kGapTimeoutGapFactor});
    return FromSeconds(ToSeconds(gap_timeout) * kStreamReadTimeoutFraction);
  }
  return FromSeconds(ToSeconds(timeout_) * kReadTimeoutFraction);
}

duration exchange::EstimatedPrefillTime() const {
  const service_profile* service = catalog_->FindService(service_);
  if (service == nullptr || !service->engine ||
      service->engine->prompt_tokens_per_s <= 0) {
    return duration(0);
  }
  return FromSeconds(static_cast<double>(metadata_.prompt_tokens) /
                     service->engine->prompt_tokens_per_s);
}

std::optional<duration> exchange::ExpectedDuration() const {
  if (route_->target_latency.count() <= 0) {
    return std::nullopt;
  }
  if (!route_->streaming) {
    return route_->target_latency;
  }
  const service_profile* service = catalog_->FindService(service_);
  if (service == nullptr || !service->engine || service->engine->step_ms <= 0 ||
      metadata_.max_output_tokens == 0) {
    return std::nullopt;
  }
  constexpr double kMillisecondsPerSecond = 1000;
  return route_->target_latency +
         FromSeconds(static_cast<double>(metadata_.max_output_tokens) *
                     service->engine->step_ms / kMillisecondsPerSecond);
}

double exchange::EstimatedCost() const {
  const service_profile* service = catalog_->FindService(service_);
  if (service == nullptr || !service->engine) {
    return 1;
  }
  const engine_profile& engine = *service->engine;
  /// Requests that share a decoding step in a full batch.
  constexpr double kBatchSize = 16;
  constexpr double kMillisecondsPerSecond = 1000;
  const double prompt = static_cast<double>(metadata_.prompt_tokens) *
                        kMillisecondsPerSecond /
                        std::max(1.0, engine.prompt_tokens_per_s);
  const double output = static_cast<double>(metadata_.max_output_tokens) *
                        engine.step_ms / kBatchSize;
  return std::max(1.0, prompt + output);
}

request_fingerprint exchange::ContentFingerprint() const {
  request_fingerprint hash = StableHash(request_.method);
  for (const std::string_view item :
       {HostOf(request_), std::string_view(request_.target),
        std::string_view(workspace_.value()),
        std::string_view(*request_.shared_body)}) {
    hash = StableHash(item, hash);
  }
  return hash;
}

void exchange::RecordFailedTry(const attempt_report& report) {
  failed_tries_ += failed_tries_.empty() ? "" : ",";
  failed_tries_ += upstream_ + "/" + std::string(ToString(report.outcome));
  failed_tries_ += "/" + std::to_string(report.response_status);
  failed_tries_ += !report.connection_reused   ? "/-"
                   : *report.connection_reused ? "/reused"
                                               : "/new";
  failed_tries_ += "@" + Milliseconds(MonotonicNow() - received_at_);
}

void exchange::LogOutcome() {
  const duration total = MonotonicNow() - received_at_;
  const std::string kind = route_ == nullptr   ? "none"
                           : route_->streaming ? "stream"
                                               : "plain";
  metrics& counters = gateway_.counters();
  counters.Count("requests_total", {{"kind", kind}, {"outcome", outcome_}});
  counters.ObserveSeconds("request_seconds",
                          {{"kind", kind}, {"outcome", outcome_}},
                          ToSeconds(response_delay_.value_or(total)));
  std::string line = "event=request id=" + metadata_.attempt_id;
  line += " route=" + (route_ == nullptr ? "-" : route_->name);
  line += " workspace=" + (workspace_.empty() ? "-" : workspace_.value());
  line += " priority=" + std::to_string(priority_);
  line += " outcome=" + outcome_;
  line += " status=" + std::to_string(status_);
  line += " upstream=" + (upstream_.empty() ? "-" : upstream_);
  line += " tried=" + std::to_string(history_.tried);
  line += " may_have_run=" + std::to_string(history_.may_have_run);
  line += " placed_ms=" + Milliseconds(placement_delay_);
  line += " answered_ms=" + Milliseconds(response_delay_);
  line += " total_ms=" + Milliseconds(total);
  line += " waits_for=" + std::string(waits_for_);
  line += " write_ms=";
  line += write_started_at_ ? Milliseconds(MonotonicNow() - *write_started_at_)
                            : "-";
  line += " timeout_ms=" + Milliseconds(timeout_);
  line += " route_timeout_ms=";
  line += route_ == nullptr ? "-" : Milliseconds(route_->timeout);
  line += " deadline_delay_ms=" + Milliseconds(deadline_delay_);
  line += " content=" + std::to_string(content_);
  line += " events=" + std::to_string(cursor_.forwarded_events());
  line +=
      " configuration=" + (catalog_ ? std::to_string(catalog_->version) : "-");
  line += " key_age_ms=" + Milliseconds(gateway_.KeyAge());
  if (!failed_tries_.empty()) {
    line += " failed_tries=" + failed_tries_;
  }
  if (!last_failure_.empty()) {
    line += " failure=\"" + last_failure_ + "\"";
  }
  LogLine(line);
}

}  // namespace fireflyslip
