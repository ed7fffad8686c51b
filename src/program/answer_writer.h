#ifndef FIREFLYSLIP_PROGRAM_ANSWER_WRITER_H_
#define FIREFLYSLIP_PROGRAM_ANSWER_WRITER_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "fireflyslip/core.h"
#include "fireflyslip/http.h"
#include "program/request_context.h"

namespace fireflyslip {

/// \brief Turns the parts of an answer into the HTTP response of the caller:
/// server-sent events, one completion as JSON, or the body of a service.
///
/// References passed to its coroutines must outlive them.
class answer_writer {
 public:
  answer_writer(request_context& context, response_writer& writer);

  /// \brief Forwards the next part. Returns false if the caller has left.
  boost::asio::awaitable<bool> Part(const std::string& data);

  /// \brief Forgets the parts of a response of which nothing was sent.
  void Restart();

  /// \brief Ends the response of a request that succeeded. Returns false if the
  /// caller has left.
  boost::asio::awaitable<bool> Finish(int http_status,
                                      const std::string& content_type);

  /// \brief Answers with an error. After the first part of a stream, an error
  /// event is sent and the connection is closed before the end of the stream.
  boost::asio::awaitable<void> Fail(const error& problem);

 private:
  void AddToCompletion(const std::string& data);
  std::string Completion() const;

  request_context& context_;
  response_writer& writer_;
  std::string body_;  // Parts of a response that is not streamed.
  std::string version_;
  std::string completion_id_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ANSWER_WRITER_H_
