#include "soak/StreamText.h"

#include <sstream>

namespace havenstair {

namespace {

/// \p Text with LF in place of each CRLF. A CR alone is no line end of the
/// soak's servers.
std::string withLineFeeds(const std::string &Text) {
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text.compare(At, 2, "\r\n") != 0)
      Result += Text[At];
  return Result;
}

} // namespace

std::string streamText(const StreamPiece &Piece, AnswerCut At) {
  return eventText(std::to_string(Piece.m_Number),
                   Piece.m_Request + " " + Piece.m_Run +
                       (Piece.m_Last ? " last" : " more"),
                   At);
}

std::vector<StreamPiece> readStream(const std::string &Body) {
  const std::string Lines = withLineFeeds(Body);
  std::vector<StreamPiece> Result;
  std::size_t Start = 0;
  for (std::size_t End = Lines.find("\n\n"); End != std::string::npos;
       End = Lines.find("\n\n", Start)) {
    std::istringstream Text(Lines.substr(Start, End - Start));
    StreamPiece Piece;
    std::string Comment;
    std::string IdWord;
    std::string DataWord;
    std::string Place;
    if (Text.peek() == ':')
      std::getline(Text, Comment);
    Text >> IdWord >> Piece.m_Number >> DataWord >> Piece.m_Request >>
        Piece.m_Run >> Place;
    if (!Text || IdWord != "id:" || DataWord != "data:")
      return {};
    Piece.m_Last = Place == "last";
    Result.push_back(std::move(Piece));
    Start = End + 2;
  }
  return Result;
}

std::string unfinishedEvent(const std::string &Body) {
  const std::string Lines = withLineFeeds(Body);
  const std::size_t End = Lines.rfind("\n\n");
  return End == std::string::npos ? Lines : Lines.substr(End + 2);
}

} // namespace havenstair
