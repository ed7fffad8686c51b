#include "gateway/exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "fireflyslip/runtime.h"
#include "gateway/gateway.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

constexpr int kStatusOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
/// Used when neither the client nor its route bounds the time.
constexpr seconds kLongestRequest{60};
/// Wait of a broken stream for an upstream that continues it; clients give up
/// after a gap of two seconds or more.
constexpr milliseconds kResumeWait{1500};
/// Clients of a stream leave after a gap of this length, or of these multiples
/// of its target latency and longest pause, whichever is longest.
constexpr seconds kShortestPatience{2};
constexpr int kPatienceTargets = 4;
constexpr int kPatienceGaps = 8;
/// Part of the patience after which a silent stream is sent elsewhere. The
/// other part is for the second upstream.
constexpr double kSilenceShare = 0.5;
/// Part of the route's timeout after which an idempotent request is sent again.
constexpr double kPlainSilenceShare = 0.5;
/// Remaining time below which another attempt cannot be answered.
constexpr milliseconds kShortestAttempt{30};
/// A non-idempotent request is not risked on a connection that the upstream may
/// be about to close.
constexpr milliseconds kFreshConnection{800};
constexpr seconds kIdleConnection{10};

std::string_view HostOf(const http_request& request) {
  return request.Field("Host");
}

http_response WithoutConnectionFields(const http_response& head) {
  http_response answer;
  answer.status = head.status;
  answer.fields.reserve(head.fields.size());
  for (const http_field& field : head.fields) {
    if (!platform::IsHopByHopField(field.name)) {
      answer.fields.push_back(field);
    }
  }
  return answer;
}

/// Orders by workspace, then by route.
int CombinedPriority(int workspace, int route) {
  constexpr int kLevels = 3;
  return std::clamp(workspace, 0, kLevels - 1) * kLevels +
         std::clamp(route, 0, kLevels - 1);
}

std::string Milliseconds(std::optional<duration> value) {
  return value ? std::to_string(value->count() / 1000) : "-";
}

}  // namespace

exchange::exchange(gateway& owner,
                   dispatch_id id,
                   http_request request,
                   response_writer& client)
    : owner_(owner),
      id_(id),
      request_(std::move(request)),
      client_(client),
      call_(platform::DecodeRequestMetadata(request_)),
      catalog_(owner.catalog()),
      received_(MonotonicNow()),
      wake_(owner.context()),
      alarm_(owner.context()),
      cursor_(call_.last_event) {}

awaitable<void> exchange::Run() {
  const auto self = shared_from_this();
  std::optional<error> problem = Identify();
  if (!problem) {
    problem = Authorize();
  }
  if (problem) {
    co_await AnswerProblem(*problem);
    LogOutcome();
    co_return;
  }
  ArmTimer();
  client_.NotifyClosed([weak = weak_from_this()] {
    if (const auto run = weak.lock()) {
      run->Stop(stop_cause::kClientLeft);
    }
  });
  owner_.RetryBudget(service_).CountRequest(received_);
  for (;;) {
    const bool placed = co_await Place();
    if (!placed) {
      break;
    }
    const attempt_report report = co_await Attempt();
    owner_.Handle(dispatcher::attempt_completed{id_, report.health});
    if (report.delivered || stopped_ != stop_cause::kNone) {
      break;
    }
    last_failure_ = report.detail;
    const retry_decision step =
        DecideRetry(*route_, history_, report.fate, [this] {
          return TimeLeft() > kShortestAttempt &&
                 owner_.RetryBudget(service_).Take(MonotonicNow(),
                                                   owner_.RetryAllowance());
        });
    if (step != retry_decision::kRetryElsewhere) {
      co_await AnswerFailure(step, report);
      break;
    }
  }
  // Time may run out while a slow client reads its answer.
  if (stopped_ != stop_cause::kNone && !answered_) {
    co_await AnswerStopped();
  }
  alarm_.cancel();
  LogOutcome();
}

void exchange::OnStart(const dispatcher::start& chosen) {
  placed_ = chosen;
  wake_.cancel();
}

void exchange::OnRefuse(const dispatcher::refuse& refusal) {
  refused_ = refusal;
  wake_.cancel();
}

std::optional<error> exchange::Identify() {
  if (!catalog_) {
    return error{error_kind::kPlatformUnavailable, "no configuration yet"};
  }
  route_ = catalog_->routes.Find(HostOf(request_), request_.path());
  if (route_ == nullptr) {
    return error{error_kind::kNotFound, "no route"};
  }
  priority_ = CombinedPriority(route_->priority, route_->priority);
  double sum = 0;
  for (const weighted_service& part : route_->services) {
    sum += part.weight;
  }
  double point = owner_.Random() * sum;
  for (const weighted_service& part : route_->services) {
    service_ = part.service;
    point -= part.weight;
    if (point < 0) {
      break;
    }
  }
  const duration patience = call_.time_left.value_or(duration(kLongestRequest));
  const duration bound =
      route_->timeout.count() > 0 ? route_->timeout : duration(kLongestRequest);
  end_ = received_ + std::min(patience, bound);
  return std::nullopt;
}

std::optional<error> exchange::Authorize() {
  if (!catalog_->keys_required || route_->public_access) {
    return std::nullopt;
  }
  const workspace_grant* grant = catalog_->FindKey(call_.api_key);
  // A key that is unknown here may be new, and one that is known may have been
  // revoked, so neither is decided on old knowledge.
  if (owner_.AreKeysStale()) {
    return error{error_kind::kPlatformUnavailable, "keys are out of date"};
  }
  if (grant == nullptr) {
    return error{error_kind::kUnauthorized, "unknown key"};
  }
  workspace_ = grant->workspace;
  priority_ = CombinedPriority(grant->priority.value_or(route_->priority),
                               route_->priority);
  return std::nullopt;
}

void exchange::Stop(stop_cause cause) {
  if (stopped_ != stop_cause::kNone) {
    return;
  }
  stopped_ = cause;
  if (canceller_) {
    canceller_->Cancel();
  }
  wake_.cancel();
}

void exchange::ArmTimer() {
  alarm_.expires_after(std::max(TimeLeft(), duration(0)));
  alarm_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& code) {
        const auto run = weak.lock();
        if (!code && run) {
          run->Stop(stop_cause::kTimeUp);
        }
      });
}

awaitable<bool> exchange::Place() {
  placed_.reset();
  refused_.reset();
  const time_point now = MonotonicNow();
  const bool first = history_.tried == 0;
  dispatcher::submit work;
  work.id = id_;
  work.service = service_;
  work.model = call_.model;
  work.workspace = workspace_;
  work.priority = priority_;
  work.urgency = route_->priority;
  work.cost = Cost();
  work.prefill_time = ReadTime();
  work.resubmitted = !first;
  work.response_due =
      stream_begun_ ? now + kResumeWait : received_ + route_->target_latency;
  work.client_deadline = end_;
  work.excluded = excluded_;
  work.version = stream_begun_ ? stream_version_ : std::nullopt;
  owner_.Submit(std::move(work));
  while (!placed_ && !refused_ && stopped_ == stop_cause::kNone) {
    boost::system::error_code ignored;
    wake_.expires_at(boost::asio::steady_timer::time_point::max());
    co_await wake_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  if (placed_ && stopped_ == stop_cause::kNone) {
    if (first) {
      placed_after_ = MonotonicNow() - received_;
    }
    co_return true;
  }
  if (placed_) {
    owner_.Handle(
        dispatcher::attempt_completed{id_, attempt_status::kAbandoned});
  } else {
    owner_.Handle(dispatcher::cancel_waiting{id_});
  }
  if (refused_ && stopped_ == stop_cause::kNone) {
    if (stream_begun_) {
      answered_ = true;
      client_.Abort();
      outcome_ = "stream_broken";
    } else {
      const error_kind kind = history_.may_have_run > 0
                                  ? error_kind::kOutcomeUnknown
                                  : refused_->kind;
      const error problem{kind, "refused by placement"};
      co_await AnswerProblem(problem);
    }
  }
  co_return false;
}

awaitable<exchange::attempt_report> exchange::Attempt() {
  ++history_.tried;
  const upstream_entry& upstream = placed_->upstream;
  upstream_ = upstream.id.value();
  excluded_.insert(upstream.id);
  const time_point started = MonotonicNow();
  const auto endpoint = ParseHttpEndpoint(upstream.address);
  if (!endpoint) {
    attempt_report report;
    report.fate = attempt_outcome::kNotSent;
    report.health = attempt_status::kUnreachable;
    report.detail = "malformed address";
    co_return report;
  }
  const bool repeatable =
      route_->idempotency_class != request_idempotency::kNonIdempotent;
  duration allowed =
      repeatable ? std::min(SilenceBound(), TimeLeft()) : TimeLeft();
  const bool must_begin = repeatable && placed_->start_deadline &&
                          *placed_->start_deadline - started < allowed;
  if (must_begin) {
    allowed = std::max(*placed_->start_deadline - started, duration(0));
  }
  const duration max_idle =
      repeatable ? duration(kIdleConnection) : duration(kFreshConnection);
  canceller_ = std::make_shared<call_canceller>();
  http_request message = MakeAttempt();
  const auto opened = co_await owner_.upstreams().Open(
      *endpoint, std::move(message), allowed, max_idle, canceller_);
  if (!IsOk(opened)) {
    attempt_report report = BrokenReport(started, allowed, ErrorOf(opened));
    if (must_begin && report.health == attempt_status::kUnreachable) {
      report.health = attempt_status::kAbandoned;
    }
    if (report.fate != attempt_outcome::kNotSent) {
      ++history_.may_have_run;
    }
    co_return report;
  }
  const std::shared_ptr<response_reader> reader = ValueOf(opened);
  const platform::response_metadata answer =
      platform::DecodeResponseMetadata(reader->head());
  attempt_report report;
  if (!answer.attempt.empty() && answer.attempt != call_.attempt) {
    ++history_.may_have_run;
    report.health = attempt_status::kFailed;
    report.detail = "answer to another request";
    co_return report;
  }
  if (answer.not_executed) {
    report.fate = attempt_outcome::kNotRun;
    report.health = attempt_status::kRefused;
    report.detail = "not run, status " + std::to_string(reader->head().status);
    co_await reader->Read(SilenceBound());
    reader->ReleaseConnection();
    co_return report;
  }
  ++history_.may_have_run;
  if (route_->streaming && reader->head().status == kStatusOk) {
    stream_version_ = answer.version;
    co_return co_await RelayStream(reader);
  }
  co_return co_await ReadPlain(reader);
}

awaitable<exchange::attempt_report> exchange::ReadPlain(
    std::shared_ptr<response_reader> reader) {
  const time_point started = MonotonicNow();
  const bool repeatable =
      route_->idempotency_class != request_idempotency::kNonIdempotent;
  http_response answer = WithoutConnectionFields(reader->head());
  while (!reader->complete()) {
    const duration allowed =
        repeatable ? std::min(SilenceBound(), TimeLeft()) : TimeLeft();
    const auto part = co_await reader->Read(allowed);
    if (!IsOk(part)) {
      co_return BrokenReport(started, allowed, ErrorOf(part));
    }
    answer.body += ValueOf(part);
  }
  reader->ReleaseConnection();
  attempt_report report;
  const platform::response_metadata metadata =
      platform::DecodeResponseMetadata(answer);
  const bool success = answer.status < kFirstClientError;
  if (success && !metadata.has_signature) {
    report.health = attempt_status::kFailed;
    report.detail = "answer without a signature";
    co_return report;
  }
  if (answer.status >= kFirstServerError || stream_begun_) {
    report.fate = attempt_outcome::kRanAndFailed;
    report.health = attempt_status::kFailed;
    report.detail = "status " + std::to_string(answer.status);
    report.failure = std::move(answer);
    co_return report;
  }
  answered_after_ = MonotonicNow() - received_;
  status_ = answer.status;
  outcome_ = "answered";
  report.delivered = true;
  answered_ = true;
  co_await client_.Send(std::move(answer));
  co_return report;
}

awaitable<exchange::attempt_report> exchange::RelayStream(
    std::shared_ptr<response_reader> reader) {
  attempt_report report;
  cursor_.Restart();
  while (!reader->complete()) {
    const time_point started = MonotonicNow();
    const duration allowed = std::min(SilenceBound(), TimeLeft());
    const auto part = co_await reader->Read(allowed);
    if (!IsOk(part)) {
      co_return BrokenReport(started, allowed, ErrorOf(part));
    }
    std::string events = cursor_.Feed(ValueOf(part));
    if (events.empty()) {
      continue;
    }
    owner_.Handle(dispatcher::response_begun{id_});
    const bool written =
        co_await DeliverEvents(reader->head(), std::move(events));
    if (!written) {
      Stop(stop_cause::kClientLeft);
      report.health = attempt_status::kAbandoned;
      co_return report;
    }
  }
  if (cursor_.has_partial_event() || !stream_begun_) {
    report.health = attempt_status::kFailed;
    report.detail = "stream ended within an event";
    co_return report;
  }
  reader->ReleaseConnection();
  report.delivered = true;
  outcome_ = "answered";
  answered_ = true;
  co_await client_.End();
  co_return report;
}

awaitable<bool> exchange::DeliverEvents(const http_response& head,
                                        std::string events) {
  if (!stream_begun_) {
    stream_begun_ = true;
    answered_after_ = MonotonicNow() - received_;
    status_ = head.status;
    http_response begin = WithoutConnectionFields(head);
    const bool begun = co_await client_.Begin(std::move(begin));
    if (!begun) {
      co_return false;
    }
  }
  co_return co_await client_.Write(std::move(events));
}

awaitable<void> exchange::AnswerFailure(retry_decision step,
                                        const attempt_report& report) {
  answered_ = true;
  if (stream_begun_) {
    // Without the end of the chunked body the client sees that it is cut.
    client_.Abort();
    outcome_ = "stream_broken";
    co_return;
  }
  if (step == retry_decision::kForwardError && report.failure) {
    status_ = report.failure->status;
    outcome_ = "upstream_failure";
    http_response failure = *report.failure;
    co_await client_.Send(std::move(failure));
    co_return;
  }
  const error_kind kind = step == retry_decision::kRefuse
                              ? error_kind::kOverloaded
                              : error_kind::kOutcomeUnknown;
  const error problem{kind, report.detail};
  co_await AnswerProblem(problem);
}

awaitable<void> exchange::AnswerProblem(const error& problem) {
  /// Delay for refusals that say nothing of the load.
  constexpr milliseconds kDefaultDelay{300};
  const error_response& known = ErrorResponseFor(problem.kind);
  const outcome actual =
      history_.may_have_run > 0 ? outcome::kUnknown : known.default_outcome;
  http_response answer = ProblemResponse(problem, std::nullopt, actual);
  std::erase_if(answer.fields, [](const http_field& field) {
    return field.name == "Retry-After";
  });
  if (known.retry_after && known.default_outcome == outcome::kNotRun) {
    platform::SetRetryAfter(
        answer, refused_ ? refused_->retry_after : duration(kDefaultDelay));
  }
  status_ = answer.status;
  outcome_ = std::string(known.name);
  answered_ = true;
  co_await client_.Send(std::move(answer));
}

awaitable<void> exchange::AnswerStopped() {
  if (stopped_ == stop_cause::kClientLeft) {
    outcome_ = "client_left";
    client_.Abort();
    co_return;
  }
  if (stream_begun_) {
    outcome_ = "stream_timed_out";
    client_.Abort();
    co_return;
  }
  const error problem{history_.tried > 0 ? error_kind::kDeadlineExceeded
                                         : error_kind::kOverloaded,
                      "no answer in time"};
  co_await AnswerProblem(problem);
  outcome_ = "timed_out";
}

http_request exchange::MakeAttempt() const {
  platform::attempt_fields fields;
  fields.upstream = placed_->upstream.id;
  fields.workspace = workspace_;
  fields.time_left = std::max(TimeLeft(), duration(milliseconds(1)));
  fields.priority = priority_;
  if (stream_begun_) {
    fields.last_event = cursor_.last_event();
    fields.version = stream_version_;
  }
  return platform::EncodeAttempt(request_, fields);
}

exchange::attempt_report exchange::BrokenReport(time_point started,
                                                duration allowed,
                                                const error& problem) const {
  attempt_report report;
  report.detail = problem.detail;
  if (stopped_ != stop_cause::kNone) {
    report.health = attempt_status::kAbandoned;
    return report;
  }
  if (problem.kind == error_kind::kNoUpstream) {
    report.fate = attempt_outcome::kNotSent;
    report.health = attempt_status::kUnreachable;
    return report;
  }
  const bool silent = MonotonicNow() - started >= allowed;
  report.health =
      silent ? attempt_status::kUnreachable : attempt_status::kFailed;
  return report;
}

duration exchange::TimeLeft() const {
  return end_ - MonotonicNow();
}

duration exchange::SilenceBound() const {
  if (route_->streaming) {
    const duration patience = std::max<duration>(
        {kShortestPatience, route_->target_latency * kPatienceTargets,
         route_->target_gap * kPatienceGaps});
    return FromSeconds(ToSeconds(patience) * kSilenceShare);
  }
  return FromSeconds(ToSeconds(end_ - received_) * kPlainSilenceShare);
}

duration exchange::ReadTime() const {
  const service_profile* service = catalog_->FindService(service_);
  if (service == nullptr || !service->engine ||
      service->engine->prompt_tokens_per_s <= 0) {
    return duration(0);
  }
  return FromSeconds(static_cast<double>(call_.prompt_tokens) /
                     service->engine->prompt_tokens_per_s);
}

double exchange::Cost() const {
  const service_profile* service = catalog_->FindService(service_);
  if (service == nullptr || !service->engine) {
    return 1;
  }
  const engine_profile& engine = *service->engine;
  /// Requests that share a token step in a full batch.
  constexpr double kBatch = 16;
  constexpr double kMillisecondsPerSecond = 1000;
  const double prompt = static_cast<double>(call_.prompt_tokens) *
                        kMillisecondsPerSecond /
                        std::max(1.0, engine.prompt_tokens_per_s);
  const double output =
      static_cast<double>(call_.max_output_tokens) * engine.step_ms / kBatch;
  return std::max(1.0, prompt + output);
}

void exchange::LogOutcome() {
  const duration total = MonotonicNow() - received_;
  const std::string kind = route_ == nullptr   ? "none"
                           : route_->streaming ? "stream"
                                               : "plain";
  metrics& counters = owner_.counters();
  counters.Count("requests_total", {{"kind", kind}, {"outcome", outcome_}});
  counters.ObserveSeconds("request_seconds",
                          {{"kind", kind}, {"outcome", outcome_}},
                          ToSeconds(answered_after_.value_or(total)));
  std::string line = "event=request id=" + call_.attempt;
  line += " route=" + (route_ == nullptr ? "-" : route_->name);
  line += " workspace=" + (workspace_.empty() ? "-" : workspace_.value());
  line += " priority=" + std::to_string(priority_);
  line += " outcome=" + outcome_;
  line += " status=" + std::to_string(status_);
  line += " upstream=" + (upstream_.empty() ? "-" : upstream_);
  line += " tried=" + std::to_string(history_.tried);
  line += " may_have_run=" + std::to_string(history_.may_have_run);
  line += " placed_ms=" + Milliseconds(placed_after_);
  line += " answered_ms=" + Milliseconds(answered_after_);
  line += " total_ms=" + Milliseconds(total);
  line += " events=" + std::to_string(cursor_.events());
  line +=
      " configuration=" + (catalog_ ? std::to_string(catalog_->version) : "-");
  line += " key_age_ms=" + Milliseconds(owner_.KeyAge());
  if (!last_failure_.empty()) {
    line += " failure=\"" + last_failure_ + "\"";
  }
  LogLine(line);
}

}  // namespace fireflyslip
