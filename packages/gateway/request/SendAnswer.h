/// \file
/// The answer to one send of a request.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_SENDANSWER_H
#define HAVENSTAIR_GATEWAY_REQUEST_SENDANSWER_H

#include "decisions/process/MemoryBudget.h"
#include "decisions/request/ForwardingPolicy.h"
#include "gateway/request/PassFields.h"
#include "gateway/request/RequestDialect.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"
#include "wire/common/SharedBytes.h"
#include <cstddef>
#include <string>
#include <string_view>

namespace havenstair {

/// Receives the answer of an upstream, or of the box that the request was
/// passed on to, and judges how the send ended. Holds the body of an answer
/// that is passed on as a whole.
class SendAnswer {
public:
  /// What the answer is expected to be.
  struct Expected {
    HttpMethod m_Method = HttpMethod::Get; ///< Method of the request.
    std::string m_RequestId;               ///< Request that it is for.
    bool m_FromBox = false; ///< A box is to answer, else an upstream.
  };

  SendAnswer() = default;
  explicit SendAnswer(Expected Of) : m_Expected(std::move(Of)) {}

  /// Takes the head of the answer, from which the platform reads \p Facts.
  void readHead(int Status, const HttpHeaders &Headers,
                const AnswerFacts &Facts);
  /// \returns the status; 0 before the head has come.
  int status() const { return m_Status; }
  /// \returns the header fields without those between two boxes.
  const HttpHeaders &headers() const { return m_Headers; }
  /// \returns the bytes of the body that the head states; 0 if it does not.
  std::size_t announcedBytes() const;
  AnswerFraming framing() const { return m_Framing; }
  /// \returns what the box states; none for an upstream.
  PassVerdict verdict() const { return m_Verdict; }
  /// \returns whether the upstream rejected the request for lack of room.
  bool noRoom() const { return m_NoRoom; }
  /// \returns whether the answer is for another request, or a success that does
  /// not state which request it is for.
  bool foreign() const { return m_Foreign; }

  /// Makes room in \p Memory for the body of \p Bytes that is announced.
  /// \returns false where all that is held leaves none.
  bool reserve(std::size_t Bytes, const MemoryBudget &Memory);
  /// Makes room for a body of \p Bytes and some more, unless it has the room
  /// already. \returns false where all that is held leaves none.
  bool growTo(std::size_t Bytes, const MemoryBudget &Memory);
  /// Gives back what is reserved and has not come, if the body came slowly for
  /// \p Taken. \returns whether it did.
  bool releaseStalled(Duration Taken);
  /// \returns the bytes that drop() gives back; 0 for a body that comes in time
  /// into the room that it reserved.
  std::size_t reclaimable() const { return m_Reserved ? 0 : m_Held.bytes(); }
  /// Forgets the body, which is not passed on.
  void drop();
  void append(std::string_view Bytes) { m_Body.append(Bytes); }
  const std::string &body() const { return m_Body; }
  /// \returns the body, which stays charged until it is destroyed.
  SharedBytes takeBody();

  /// \returns whether no byte came over the connection of a call that ended
  /// with \p End. A kept one may also break because the upstream closes it; the
  /// probe that follows then clears the doubt.
  bool connectionFailed(HttpEnd End) const;
  /// \returns the result of the send whose call ended with \p End.
  /// \p Incomplete says that the content shows more to be missing, or that the
  /// answer cannot be passed on as whole.
  SendOutcome outcome(HttpEnd End, bool Incomplete) const;

private:
  Expected m_Expected;
  int m_Status = 0;
  HttpHeaders m_Headers;
  AnswerFraming m_Framing = AnswerFraming::Length;
  PassVerdict m_Verdict = PassVerdict::None;
  bool m_NotRun = false; ///< The upstream states that it did not run it.
  bool m_NoRoom = false;
  bool m_Foreign = false;
  std::string m_Body;
  MemoryCharge m_Held;     ///< Charged for the body.
  bool m_Reserved = false; ///< There is room for all that is announced.
};

} // namespace havenstair

#endif
