/// \file
/// How an upstream's answer ends: its framing, its connection and the place in
/// its text.
#ifndef HAVENSTAIR_TESTS_STANDIN_ANSWERENDING_H
#define HAVENSTAIR_TESTS_STANDIN_ANSWERENDING_H

#include <array>
#include <string>

namespace havenstair {

/// What tells a reader where the body ends. Lengths and chunks are those of the
/// bytes that are sent, also where the text is cut.
enum class SentFraming {
  Length,
  LongerLength,  ///< Names more bytes than come.
  ShorterLength, ///< Names fewer bytes than come.
  Chunks,
  ChunksWithoutLast,
  Neither ///< The body ends with its connection.
};

enum class ConnectionEnd {
  Kept,         ///< It is left open for further requests.
  Fin,          ///< Both directions are closed once the bytes were read.
  FinWithBytes, ///< The same while bytes are still on their way.
  HalfClose,    ///< One direction is closed, the other stays open.
  Reset,
  Silence ///< It stays open and carries nothing more.
};

/// Where the text of a stream is cut. Of a plain body, all that lie inside an
/// event are its middle.
enum class AnswerCut {
  Nowhere,
  BeforeBody,
  BetweenEvents,
  InsideEvent,
  InsideId,        ///< Within `id:`.
  BetweenNewlines, ///< Before the newline that ends the event.
  InsideCrlf,
  InsideComment
};

struct AnswerEnding {
  SentFraming m_Framing = SentFraming::Length;
  ConnectionEnd m_End = ConnectionEnd::Kept;
  AnswerCut m_At = AnswerCut::Nowhere;

  bool operator==(const AnswerEnding &) const = default;
  /// E.g. "neither, fin, inside-event".
  std::string str() const;
};

/// Bytes by which LongerLength and ShorterLength differ from what is sent.
constexpr std::size_t LengthError = 7;

inline constexpr std::array AllFramings{SentFraming::Length,
                                        SentFraming::LongerLength,
                                        SentFraming::ShorterLength,
                                        SentFraming::Chunks,
                                        SentFraming::ChunksWithoutLast,
                                        SentFraming::Neither};
inline constexpr std::array AllConnectionEnds{
    ConnectionEnd::Kept,      ConnectionEnd::Fin,   ConnectionEnd::FinWithBytes,
    ConnectionEnd::HalfClose, ConnectionEnd::Reset, ConnectionEnd::Silence};
inline constexpr std::array AllCuts{
    AnswerCut::Nowhere,     AnswerCut::BeforeBody,   AnswerCut::BetweenEvents,
    AnswerCut::InsideEvent, AnswerCut::InsideId,     AnswerCut::BetweenNewlines,
    AnswerCut::InsideCrlf,  AnswerCut::InsideComment};

/// Whether its framing, or the orderly end of its connection where it has none,
/// says that the body is complete.
bool framedAsWhole(const AnswerEnding &Ending);

/// Whether all is sent, as its framing says, and its connection may be kept or
/// ends in order.
bool isSound(const AnswerEnding &Ending);

/// The header fields of its framing with the blank line, for \p BodySize bytes
/// that are sent.
std::string framingFields(const AnswerEnding &Ending, std::size_t BodySize);
/// A piece of the body as it is sent, and what follows the last one.
std::string framedPiece(const AnswerEnding &Ending, const std::string &Piece);
std::string framedEnd(const AnswerEnding &Ending);
/// The part of \p Body that belongs to the answer by its framing.
std::string readableBody(const AnswerEnding &Ending, const std::string &Body);

/// The lines of an event, with a comment line and line ends as \p At needs.
std::string eventText(const std::string &Id, const std::string &Data,
                      AnswerCut At = AnswerCut::Nowhere);
/// What is sent of \p Event, or of a plain body, which is cut there.
std::string cutText(const std::string &Event, AnswerCut At);

} // namespace havenstair

#endif
