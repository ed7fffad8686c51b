#include "fireflyslip/http/problem.h"

#include <nlohmann/json.hpp>

namespace fireflyslip {
namespace {

constexpr seconds kDefaultRetryAfter{1};

}  // namespace

http_response ProblemResponse(const error& problem,
                              std::optional<duration> retry_after,
                              std::optional<outcome> known_outcome) {
  const error_response& answer = ErrorResponseFor(problem.kind);
  const nlohmann::json body = {
      {"type", "about:blank"},        {"title", answer.title},
      {"status", answer.http_status}, {"detail", problem.detail},
      {"error_kind", answer.name},
  };
  http_response response;
  response.status = answer.http_status;
  response.fields = {
      {"Content-Type", "application/problem+json"},
      {kOutcomeHeader,
       std::string(ToString(known_outcome.value_or(answer.default_outcome)))}};
  if (answer.retry_after) {
    const auto delay = std::chrono::ceil<seconds>(
        retry_after.value_or(duration(kDefaultRetryAfter)));
    response.fields.push_back({"Retry-After", std::to_string(delay.count())});
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace fireflyslip
