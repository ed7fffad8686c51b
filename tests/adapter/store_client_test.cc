#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url/pct_string_view.hpp>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fireflyslip/http.h"

namespace fireflyslip::platform {
namespace {

using boost::asio::awaitable;

class store_client_test : public testing::Test {
 protected:
  /// Sends the response body in parts with pauses between them.
  static awaitable<void> ServeSlowly(boost::asio::io_context& context,
                                     response_writer& writer) {
    constexpr int kParts = 8;
    constexpr milliseconds kPause{250};
    http_response head;
    const bool begun = co_await writer.Begin(std::move(head));
    EXPECT_TRUE(begun);
    std::string text = R"({"entries":[],"hasMore":false,"at":7,"x":")";
    for (int i = 0; i < kParts; ++i) {
      co_await writer.Write(std::move(text));
      text = "part";
      boost::asio::steady_timer timer(context, kPause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    text = "\"}";
    co_await writer.Write(std::move(text));
    co_await writer.End();
  }

  /// Lists a kind of the store at a server.
  result<store_listing> List(http_server& server) {
    const auto port = server.Listen({"127.0.0.1", 0});
    EXPECT_TRUE(IsOk(port));
    store_client client(context_, {"127.0.0.1", ValueOf(port)});
    result<store_listing> listed = error{error_kind::kInternalError, "no end"};
    const std::string kind = "servers";
    boost::asio::co_spawn(
        context_,
        [&]() -> awaitable<void> {
          listed = co_await client.List(kind, false, seconds(1));
          context_.stop();
        },
        boost::asio::detached);
    context_.restart();
    context_.run();
    return listed;
  }

  boost::asio::io_context context_;
};

// Guards against a timeout that aborts requests whose response bodies are still
// arriving, so that they are retried from the beginning endlessly. Seen when 31
// gateways read a configuration of 1,614 routes over one link after a power
// failure (trouble-1 of the grown site).
TEST_F(store_client_test, List_BodyTakesLongerThanTimeout_Read) {
  http_server server(context_, {},
                     [this](http_request, response_writer& writer) {
                       return ServeSlowly(context_, writer);
                     });
  const auto port = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(IsOk(port));
  store_client client(context_, {"127.0.0.1", ValueOf(port)});
  std::optional<result<store_listing>> listed;
  const std::string kind = "config";
  boost::asio::co_spawn(
      context_,
      [&]() -> awaitable<void> {
        listed = co_await client.List(kind, false, seconds(1));
        context_.stop();
      },
      boost::asio::detached);
  context_.run();
  ASSERT_TRUE(listed.has_value());
  ASSERT_TRUE(IsOk(*listed)) << ErrorOf(*listed).detail;
  EXPECT_EQ(ValueOf(*listed).position, (store_position{0, 7}));
}

/// \brief Store that sends one response to each request, in order.
class store_client_era_test : public testing::Test {
 protected:
  store_client_era_test()
      : server_(context_, {}, [this](http_request, response_writer& writer) {
          return Serve(writer);
        }) {
    const auto port = server_.Listen({"127.0.0.1", 0});
    client_ = std::make_unique<store_client>(
        context_, http_endpoint{"127.0.0.1", ValueOf(port)});
  }

  awaitable<void> Serve(response_writer& writer) {
    http_response response = responses_.front();
    responses_.pop_front();
    co_await writer.Send(std::move(response));
  }

  void Respond(int status, const std::string& era, const std::string& body) {
    http_response response;
    response.status = status;
    if (!era.empty()) {
      response.fields.push_back({"Store-Era", era});
    }
    response.body = body;
    responses_.push_back(std::move(response));
  }

  result<store_changes> Watch() {
    std::optional<result<store_changes>> changes;
    const std::string kind = "config";
    boost::asio::co_spawn(
        context_,
        [&]() -> awaitable<void> {
          changes =
              co_await client_->Watch(kind, 3, milliseconds(0), seconds(5));
          context_.stop();
        },
        boost::asio::detached);
    context_.restart();
    context_.run();
    return *changes;
  }

  result<store_listing> List(std::string kind = "config") {
    std::optional<result<store_listing>> listed;
    boost::asio::co_spawn(
        context_,
        [&]() -> awaitable<void> {
          listed = co_await client_->List(kind, false, seconds(5));
          context_.stop();
        },
        boost::asio::detached);
    context_.restart();
    context_.run();
    return *listed;
  }

  boost::asio::io_context context_;
  std::deque<http_response> responses_;
  http_server server_;
  std::unique_ptr<store_client> client_;
};

// Guards against positions without their era, and against an end of the process
// by a header that is no number.
TEST_F(store_client_era_test, Watch_ResponseStatesEra_InPosition) {
  const std::string body = R"({"events":[],"at":4})";
  Respond(200, "2", body);
  EXPECT_EQ(ValueOf(Watch()).position, (store_position{2, 4}));
  Respond(200, "", body);
  EXPECT_EQ(ValueOf(Watch()).position, (store_position{0, 4}));
  Respond(200, "x1", body);
  EXPECT_EQ(ValueOf(Watch()).position, (store_position{0, 4}));
  EXPECT_EQ(client_->newest_era(), 2U);
}

// Guards against a list that fails for good, so that no upstream is known,
// because another writer has left many large objects beside them.
TEST_F(store_client_era_test, List_ManyLargeContents_OthersListed) {
  constexpr std::size_t kLarge = 20;
  const auto page = [](const std::string& name, const std::string& spec,
                       bool has_more) {
    return R"({"entries":[{"metadata":{"name":")" + name + R"("},"spec":)" +
           spec + R"(}],"at":4,"hasMore":)" + (has_more ? "true}" : "false}");
  };
  const std::string large = '"' + std::string(1'000'000, 'x') + '"';
  for (std::size_t i = 0; i < kLarge; ++i) {
    Respond(200, "", page("a" + std::to_string(i), large, true));
  }
  Respond(200, "", page("b", R"({"zone":"akl"})", false));
  const auto listed = List("servers");
  ASSERT_TRUE(IsOk(listed)) << ErrorOf(listed).detail;
  const std::vector<store_object>& objects = ValueOf(listed).objects;
  ASSERT_EQ(objects.size(), kLarge + 1);
  EXPECT_EQ(objects.front().content, "");
  EXPECT_EQ(objects.front().content_bytes, large.size());
  EXPECT_EQ(objects.back().content, R"({"zone":"akl"})");
}

// Guards against an era that is noticed only when the store works again.
TEST_F(store_client_era_test, Watch_Fails_EraKnown) {
  Respond(503, "2", "");
  EXPECT_FALSE(IsOk(Watch()));
  EXPECT_EQ(client_->newest_era(), 2U);
  Respond(410, "3", "");
  EXPECT_EQ(ErrorOf(Watch()).kind, error_kind::kNotFound);
  EXPECT_EQ(client_->newest_era(), 3U);
}

// Guards against a list whose pages come from before and after a restore.
TEST_F(store_client_era_test, List_EraChangesBetweenPages_Fails) {
  const std::string entry = R"({"metadata":{"name":"a"},"spec":{}})";
  Respond(200, "1", R"({"entries":[)" + entry + R"(],"hasMore":true,"at":9})");
  Respond(200, "2", R"({"entries":[],"hasMore":false,"at":5})");
  EXPECT_FALSE(IsOk(List()));
}

// Guards against a list that fails, or that is read without end, because the
// name of the last entry of a page has characters with a meaning in a request
// target, or is missing.
TEST_F(store_client_test, List_PageEndsWithOddName_Continued) {
  const std::vector<std::string> names = {
      "a b", "a&watchRevision=1", "a%41", "a#b",
      "a+b", "a\r\nb: c",         "é?",   "z/../"};
  for (const std::string& last : names) {
    std::string after;
    http_server server(
        context_, {},
        [&](http_request request, response_writer& writer) -> awaitable<void> {
          after = request.QueryParameter("after");
          const nlohmann::json entry = {{"metadata", {{"name", last}}}};
          http_response response;
          response.body = nlohmann::json{
              {"at", 7},
              {"hasMore", after.empty()},
              {"entries",
               {entry}}}.dump();
          co_await writer.Send(std::move(response));
        });
    const auto listed = List(server);
    ASSERT_TRUE(IsOk(listed)) << last << ": " << ErrorOf(listed).detail;
    EXPECT_EQ(ValueOf(listed).objects.size(), 2U) << last;
    EXPECT_EQ(boost::urls::pct_string_view(after).decode(), last);
  }
}

// The same for an entry whose name cannot be read.
TEST_F(store_client_test, List_PageEndsWithoutName_ContinuedAfterLastName) {
  std::string after;
  http_server server(
      context_, {},
      [&](http_request request, response_writer& writer) -> awaitable<void> {
        after = request.QueryParameter("after");
        http_response response;
        response.body =
            after.empty()
                ? R"({"at":7,"hasMore":true,"entries":[{"metadata":)"
                  R"({"name":"a"}},{}]})"
                : R"({"at":7,"hasMore":false,"entries":[{},{"metadata":)"
                  R"({"name":"b"}}]})";
        co_await writer.Send(std::move(response));
      });
  const auto listed = List(server);
  ASSERT_TRUE(IsOk(listed)) << ErrorOf(listed).detail;
  EXPECT_EQ(after, "a");
  EXPECT_EQ(ValueOf(listed).objects.back().name, "b");
}

TEST_F(store_client_test, List_PageDoesNotAdvance_Fails) {
  for (const char* entry : {"{}", R"({"metadata":{"name":"a"}})"}) {
    int requests = 0;
    http_server server(
        context_, {},
        [&](http_request, response_writer& writer) -> awaitable<void> {
          constexpr int kMaxRequests = 50;
          http_response response;
          response.body = R"({"at":7,"entries":[)" + std::string(entry);
          response.body += R"(],"hasMore":)";
          response.body += ++requests < kMaxRequests ? "true}" : "false}";
          co_await writer.Send(std::move(response));
        });
    EXPECT_FALSE(IsOk(List(server))) << entry;
    EXPECT_LE(requests, 2) << entry;
  }
}

}  // namespace
}  // namespace fireflyslip::platform
