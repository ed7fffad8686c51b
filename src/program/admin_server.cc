#include "program/admin_server.h"

#include <charconv>
#include <utility>

namespace fireflyslip {

using boost::asio::awaitable;

admin_server::admin_server(boost::asio::io_context& context,
                           process_context& process)
    : process_(process),
      server_(context,
              http_limits{},
              [this](http_request request, response_writer& writer) {
                return HandleRequest(std::move(request), writer);
              }) {
  Handle("/health", [](http_request) -> awaitable<http_response> {
    co_return http_response{200, {{"Content-Type", "text/plain"}}, "ok\n"};
  });
  Handle("/metrics", [this](http_request) -> awaitable<http_response> {
    co_return http_response{200,
                            {{"Content-Type", "text/plain; version=0.0.4"}},
                            process_.metrics().Render()};
  });
  Handle("/events", [this](http_request request) {
    return HandleEvents(std::move(request));
  });
}

void admin_server::Handle(std::string prefix, handler handler_function) {
  HandleStream(
      std::move(prefix),
      [handler_function = std::move(handler_function)](
          http_request request, response_writer& writer) -> awaitable<void> {
        http_response response = co_await handler_function(std::move(request));
        co_await writer.Send(std::move(response));
      });
}

void admin_server::HandleStream(std::string prefix,
                                stream_handler handler_function) {
  handlers_[std::move(prefix)] = std::move(handler_function);
}

result<unsigned short> admin_server::Listen() {
  const endpoint& admin = process_.settings().admin;
  return server_.Listen({admin.address, admin.port});
}

awaitable<void> admin_server::HandleRequest(http_request request,
                                            response_writer& writer) {
  for (const auto& [prefix, handler_function] : handlers_) {
    if (request.path().starts_with(prefix)) {
      co_await handler_function(std::move(request), writer);
      co_return;
    }
  }
  const error problem{error_kind::kNotFound, "no such admin path"};
  co_await writer.Send(ProblemResponse(problem));
}

awaitable<http_response> admin_server::HandleEvents(http_request request) {
  const std::string_view since = request.QueryParameter("since");
  std::uint64_t sequence = 0;
  std::from_chars(since.data(), since.data() + since.size(), sequence);
  co_return JsonResponse(200, ToJson(process_.events().Since(sequence)));
}

}  // namespace fireflyslip
