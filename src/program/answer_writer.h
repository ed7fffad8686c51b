#ifndef FIREFLYSLIP_PROGRAM_ANSWER_WRITER_H_
#define FIREFLYSLIP_PROGRAM_ANSWER_WRITER_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "fireflyslip/core.h"
#include "fireflyslip/http.h"
#include "program/request_context.h"

namespace fireflyslip {

/// \brief Writes the parts of an answer as the HTTP response to the caller:
/// server-sent events, one completion in JSON, or the body of a service
/// response.
///
/// References passed to its coroutines must outlive them.
class answer_writer {
 public:
  answer_writer(request_context& context, response_writer& writer);

  /// \brief Forwards or buffers the next part. Returns false if the caller has
  /// disconnected.
  boost::asio::awaitable<bool> WritePart(const std::string& data);

  /// \brief Discards the buffered parts. Must not be called after a part was
  /// sent.
  void Restart();

  /// \brief Ends the response of a successful request. Returns false if the
  /// caller has disconnected.
  boost::asio::awaitable<bool> Finish(int http_status,
                                      const std::string& content_type);

  /// \brief Sends an error response. If a part of a stream was already sent,
  /// sends an error event and closes the connection without ending the stream.
  boost::asio::awaitable<void> Fail(const error& problem);

 private:
  void AppendToCompletion(const std::string& data);
  std::string MakeCompletion() const;

  request_context& context_;
  response_writer& writer_;
  std::string body_;  // Buffered text of a response that is not streamed.
  std::string version_;
  std::string completion_id_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ANSWER_WRITER_H_
