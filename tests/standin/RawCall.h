/// \file
/// A request on a socket of its own, whose answer RawAnswer reads.
#ifndef HAVENSTAIR_TESTS_STANDIN_RAWCALL_H
#define HAVENSTAIR_TESTS_STANDIN_RAWCALL_H

#include "standin/RawAnswer.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include <functional>
#include <memory>

struct bufferevent;

namespace havenstair {

/// Destroying it closes the connection, and nothing is called any more.
class RawCall {
public:
  using Hook = std::function<void(const RawAnswer &)>;

  /// Sends \p Call, of which callbacks and use are not looked at. \p Done runs
  /// from the loop; an answer that is not over was waited for too long.
  RawCall(EventLoop &Loop, const HttpCall &Call, Hook Done);
  ~RawCall();
  RawCall(const RawCall &) = delete;
  RawCall &operator=(const RawCall &) = delete;

private:
  void onReadable();
  void onEvent(short What);
  void done();

  EventLoop &m_Loop;
  Hook m_Done;
  RawAnswer m_Answer;
  bufferevent *m_Stream;
  Timer m_Patience;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
