/// \file
/// A request as boxes forward it to each other, and the sink of its answer.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_FORWARDEDREQUEST_H
#define HAVENSTAIR_DECISIONS_REQUEST_FORWARDEDREQUEST_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/request/ErrorKind.h"
#include "decisions/request/RequestAttempts.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace havenstair {

/// What the receiving box is asked to do.
enum class ForwardRole {
  Admit,    ///< As owner of the upstream: admit and run, or refuse.
  KeyOwner, ///< As owner of the key's slice: run once, or return the outcome.
  Dispatch  ///< As a box of another data centre: choose an upstream there.
};

/// One attempt of a request, sent to another box.
struct ForwardedRequest {
  RequestId m_Id;
  AttemptId m_Attempt = 0;
  ForwardRole m_Role = ForwardRole::Admit;
  GroupName m_Group;
  UpstreamName m_Upstream; ///< For Admit only; else empty.
  ArtifactName m_Artifact; ///< Model or adapter; empty for plain services.
  std::string m_Service;   ///< Plain service; empty for models.
  std::string m_Method;
  std::string m_Target; ///< Path and query for the upstream.
  std::string m_ContentType;
  std::string m_Body;
  bool m_Unsafe = false;      ///< Must not run twice.
  bool m_Stream = false;      ///< The answer is a stream of events.
  IdempotencyKey m_Key;       ///< Empty without one from the caller.
  int m_Priority = 0;         ///< Higher ones run first within the group.
  Duration m_Budget = 0us;    ///< Time until the latest useful start.
  double m_Cost = 1;          ///< Expected cost in tokens.
  std::uint64_t m_Prefix = 0; ///< Hash of the start of the prompt.
  int m_Hops = 0;             ///< Number of data centres that forwarded it.

  bool operator==(const ForwardedRequest &) const = default;
};

/// Status and content type of an answer.
struct AnswerHead {
  int m_Status = 0;
  std::string m_ContentType;

  bool operator==(const AnswerHead &) const = default;
};

/// Receives an answer. The last call is either ended() or failed().
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  /// The request was sent to an upstream after \p Waited in the owner's queue.
  virtual void started(Duration Waited) = 0;
  /// The answer begins.
  virtual void head(const AnswerHead &Head) = 0;
  /// The next part of the answer's body.
  virtual void bytes(std::string_view Bytes) = 0;
  /// The answer is complete; \p Tokens were generated for it.
  virtual void ended(double Tokens) = 0;
  /// The attempt failed, before or during the answer.
  virtual void failed(const Failure &Reason) = 0;
};

} // namespace havenstair

#endif
