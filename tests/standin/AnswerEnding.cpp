#include "standin/AnswerEnding.h"

#include <cstdio>

namespace havenstair {

namespace {

const char *nameOf(SentFraming Of) {
  switch (Of) {
  case SentFraming::Length:
    return "length";
  case SentFraming::LongerLength:
    return "longer-length";
  case SentFraming::ShorterLength:
    return "shorter-length";
  case SentFraming::Chunks:
    return "chunks";
  case SentFraming::ChunksWithoutLast:
    return "chunks-without-last";
  case SentFraming::Neither:
    return "neither";
  }
  return "";
}

const char *nameOf(ConnectionEnd Of) {
  switch (Of) {
  case ConnectionEnd::Kept:
    return "kept";
  case ConnectionEnd::Fin:
    return "fin";
  case ConnectionEnd::FinWithBytes:
    return "fin-with-bytes";
  case ConnectionEnd::HalfClose:
    return "half-close";
  case ConnectionEnd::Reset:
    return "reset";
  case ConnectionEnd::Silence:
    return "silence";
  }
  return "";
}

const char *nameOf(AnswerCut Of) {
  switch (Of) {
  case AnswerCut::Nowhere:
    return "whole";
  case AnswerCut::BeforeBody:
    return "before-body";
  case AnswerCut::BetweenEvents:
    return "between-events";
  case AnswerCut::InsideEvent:
    return "inside-event";
  case AnswerCut::InsideId:
    return "inside-id";
  case AnswerCut::BetweenNewlines:
    return "between-newlines";
  case AnswerCut::InsideCrlf:
    return "inside-crlf";
  case AnswerCut::InsideComment:
    return "inside-comment";
  }
  return "";
}

bool inChunks(const AnswerEnding &Ending) {
  return Ending.m_Framing == SentFraming::Chunks ||
         Ending.m_Framing == SentFraming::ChunksWithoutLast;
}

std::size_t withoutError(std::size_t Size) {
  return Size > LengthError ? Size - LengthError : 0;
}

} // namespace

std::string AnswerEnding::str() const {
  return std::string(nameOf(m_Framing)) + ", " + nameOf(m_End) + ", " +
         nameOf(m_At);
}

bool framedAsWhole(const AnswerEnding &Ending) {
  switch (Ending.m_Framing) {
  case SentFraming::Length:
  case SentFraming::ShorterLength:
  case SentFraming::Chunks:
    return true;
  case SentFraming::LongerLength:
  case SentFraming::ChunksWithoutLast:
    return false;
  case SentFraming::Neither:
    return Ending.m_End == ConnectionEnd::Fin ||
           Ending.m_End == ConnectionEnd::FinWithBytes ||
           Ending.m_End == ConnectionEnd::HalfClose;
  }
  return false;
}

bool isSound(const AnswerEnding &Ending) {
  return framedAsWhole(Ending) && Ending.m_At == AnswerCut::Nowhere &&
         Ending.m_Framing != SentFraming::ShorterLength &&
         Ending.m_End != ConnectionEnd::Reset &&
         Ending.m_End != ConnectionEnd::Silence;
}

std::string framingFields(const AnswerEnding &Ending, std::size_t BodySize) {
  if (inChunks(Ending))
    return "Transfer-Encoding: chunked\r\n\r\n";
  if (Ending.m_Framing == SentFraming::Neither)
    return "\r\n";
  std::size_t Length = BodySize;
  if (Ending.m_Framing == SentFraming::LongerLength)
    Length += LengthError;
  if (Ending.m_Framing == SentFraming::ShorterLength)
    Length = withoutError(Length);
  return "Content-Length: " + std::to_string(Length) + "\r\n\r\n";
}

std::string framedPiece(const AnswerEnding &Ending, const std::string &Piece) {
  // A chunk of no bytes would be the last one.
  if (!inChunks(Ending) || Piece.empty())
    return Piece;
  char Size[24];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Piece.size());
  return Size + Piece + "\r\n";
}

std::string framedEnd(const AnswerEnding &Ending) {
  return Ending.m_Framing == SentFraming::Chunks ? "0\r\n\r\n" : "";
}

std::string readableBody(const AnswerEnding &Ending, const std::string &Body) {
  return Ending.m_Framing == SentFraming::ShorterLength
             ? Body.substr(0, withoutError(Body.size()))
             : Body;
}

std::string eventText(const std::string &Id, const std::string &Data,
                      AnswerCut At) {
  const std::string Newline = At == AnswerCut::InsideCrlf ? "\r\n" : "\n";
  const std::string Comment =
      At == AnswerCut::InsideComment ? ": a comment" + Newline : "";
  return Comment + "id: " + Id + Newline + "data: " + Data + Newline + Newline;
}

std::string cutText(const std::string &Event, AnswerCut At) {
  constexpr std::size_t InsideField = 2;
  constexpr std::size_t LfAndBlankLine = 3; // Of an event with CRLF.
  const std::size_t Id = Event.find("id:");
  switch (At) {
  case AnswerCut::Nowhere:
    return Event;
  case AnswerCut::BeforeBody:
  case AnswerCut::BetweenEvents:
    return "";
  case AnswerCut::InsideId:
    if (Id != std::string::npos)
      return Event.substr(0, Id + InsideField);
    break;
  case AnswerCut::InsideComment:
    if (Event.starts_with(": "))
      return Event.substr(0, 2 * InsideField);
    break;
  case AnswerCut::BetweenNewlines:
    if (Event.ends_with("\n\n"))
      return Event.substr(0, Event.size() - 1);
    break;
  case AnswerCut::InsideCrlf:
    if (Event.ends_with("\r\n\r\n"))
      return Event.substr(0, Event.size() - LfAndBlankLine);
    break;
  case AnswerCut::InsideEvent:
    break;
  }
  return Event.substr(0, Event.size() / 2);
}

} // namespace havenstair
