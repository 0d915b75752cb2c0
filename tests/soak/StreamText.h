/// \file
/// The events of the soak's streams: each names its request, its run and its
/// place.
#ifndef HAVENSTAIR_TESTS_SOAK_STREAMTEXT_H
#define HAVENSTAIR_TESTS_SOAK_STREAMTEXT_H

#include "standin/AnswerEnding.h"
#include <string>
#include <vector>

namespace havenstair {

struct StreamPiece {
  int m_Number = 0;
  std::string m_Request;
  std::string m_Run; ///< Signature of the run that made it.
  bool m_Last = false;

  bool operator==(const StreamPiece &) const = default;
};

/// The event, with a comment line and line ends as \p At needs.
std::string streamText(const StreamPiece &Piece,
                       AnswerCut At = AnswerCut::Nowhere);

/// The whole events of \p Body, whose lines end with LF or CRLF. \returns an
/// empty list when one of them is no event of the soak.
std::vector<StreamPiece> readStream(const std::string &Body);

/// What \p Body has behind its last blank line: part of an event.
std::string unfinishedEvent(const std::string &Body);

} // namespace havenstair

#endif
