#include "fireflyslip/delivery/answer_assembler.h"

#include <cassert>
#include <utility>

namespace fireflyslip {

static_assert(decision_core<answer_assembler>);

answer_assembler::answer_assembler(request_id request,
                                   answer_assembler_settings settings)
    : request_(std::move(request)), settings_(settings) {}

std::vector<answer_assembler::action> answer_assembler::Handle(
    const event& event,
    time_point now) {
  assert(now >= now_);
  now_ = now;
  std::visit([this](const auto& e) { On(e); }, event);
  return std::exchange(actions_, {});
}

std::optional<time_point> answer_assembler::NextDeadline() const {
  return done_ ? std::nullopt : gap_deadline_;
}

void answer_assembler::On(const tick& /*event*/) {
  if (!done_ && gap_deadline_ && *gap_deadline_ <= now_) {
    Abandon(error_kind::kUpstreamFailed, false,
            "parts of the answer were lost");
  }
}

void answer_assembler::On(const delivery::attempt_sent& event) {
  assert(event.attempt.request == request_);
  assert(event.first_offset == next_offset_);
  attempt_ = event.attempt;
  attempt_version_.reset();
  pending_parts_.clear();
  pending_bytes_ = 0;
  end_.reset();
  gap_deadline_.reset();
}

void answer_assembler::On(const delivery::part_received& event) {
  if (!IsPresent(event.attempt) || event.offset < next_offset_ ||
      pending_parts_.contains(event.offset)) {
    return;
  }
  const auto& expected = version_ ? version_ : attempt_version_;
  if (expected && *expected != event.version) {
    Abandon(error_kind::kVersionChanged, false,
            "a part came from another model version");
    return;
  }
  attempt_version_ = event.version;
  pending_parts_.emplace(event.offset, event.data);
  pending_bytes_ += event.data.size();
  ForwardWaiting();
  if (!done_ && pending_bytes_ > settings_.max_pending_bytes) {
    Abandon(error_kind::kUpstreamFailed, false,
            "too many parts are buffered behind a missing one");
  }
}

void answer_assembler::On(const delivery::end_received& event) {
  if (!IsPresent(event.attempt)) {
    // Lets the agent of a replaced attempt release its answer.
    if (event.attempt.request == request_) {
      actions_.emplace_back(delivery::acknowledge{event.attempt});
    }
    return;
  }
  if (event.result.kind) {
    actions_.emplace_back(delivery::acknowledge{event.attempt});
    Fail(*event.result.kind, event.result.result, event.result.detail);
    return;
  }
  const std::uint64_t received = pending_parts_.empty()
                                     ? next_offset_
                                     : pending_parts_.rbegin()->first + 1;
  if (event.result.parts < received) {
    actions_.emplace_back(delivery::acknowledge{event.attempt});
    Fail(error_kind::kProtocolError, outcome::kUnknown,
         "the answer has more parts than its end message declares");
    return;
  }
  end_ = event.result;
  ForwardWaiting();
}

void answer_assembler::On(const delivery::attempt_lost& event) {
  if (IsPresent(event.attempt)) {
    Abandon(error_kind::kUpstreamFailed, event.never_ran,
            "the attempt was lost");
  }
}

void answer_assembler::On(const delivery::caller_disconnected& /*event*/) {
  if (!done_ && attempt_) {
    actions_.emplace_back(delivery::cancel_attempt{*attempt_});
  }
  done_ = true;
}

void answer_assembler::ForwardWaiting() {
  const std::uint64_t before = next_offset_;
  while (!pending_parts_.empty() &&
         pending_parts_.begin()->first == next_offset_) {
    auto first = pending_parts_.extract(pending_parts_.begin());
    pending_bytes_ -= first.mapped().size();
    version_ = attempt_version_;
    actions_.emplace_back(
        delivery::forward_to_caller{*version_, std::move(first.mapped())});
    ++next_offset_;
  }
  if (end_ && end_->parts == next_offset_) {
    actions_.emplace_back(delivery::acknowledge{*attempt_});
    actions_.emplace_back(delivery::finish{end_->status});
    done_ = true;
  } else if (pending_parts_.empty() && !end_) {
    gap_deadline_.reset();
  } else if (!gap_deadline_ || next_offset_ != before) {
    gap_deadline_ = now_ + settings_.gap_timeout;
  }
}

void answer_assembler::Fail(error_kind kind,
                            outcome result,
                            std::string detail) {
  if (may_have_run_ && result == outcome::kNotRun) {
    result = outcome::kUnknown;  // An earlier attempt may have run.
  }
  actions_.emplace_back(delivery::fail{kind, result, std::move(detail)});
  done_ = true;
}

void answer_assembler::Abandon(error_kind kind,
                               bool never_ran,
                               std::string detail) {
  if (!never_ran) {
    may_have_run_ = true;
    actions_.emplace_back(delivery::cancel_attempt{*attempt_});
  }
  if (!settings_.idempotent && !never_ran) {
    Fail(error_kind::kOutcomeUnknown, outcome::kUnknown, std::move(detail));
    return;
  }
  if (resumes_ == settings_.max_resumes) {
    Fail(kind, never_ran ? outcome::kNotRun : outcome::kUnknown,
         std::move(detail));
    return;
  }
  ++resumes_;
  attempt_.reset();
  pending_parts_.clear();
  pending_bytes_ = 0;
  end_.reset();
  gap_deadline_.reset();
  actions_.emplace_back(
      delivery::resume_on_another_upstream{next_offset_, version_});
}

}  // namespace fireflyslip
