#include "soak/StreamText.h"

#include <sstream>

namespace havenstair {

std::string streamText(const StreamPiece &Piece) {
  return "id: " + std::to_string(Piece.m_Number) +
         "\ndata: " + Piece.m_Request + " " + Piece.m_Run +
         (Piece.m_Last ? " last" : " more") + "\n\n";
}

std::vector<StreamPiece> readStream(const std::string &Body) {
  std::vector<StreamPiece> Result;
  std::size_t Start = 0;
  for (std::size_t End = Body.find("\n\n"); End != std::string::npos;
       End = Body.find("\n\n", Start)) {
    std::istringstream Text(Body.substr(Start, End - Start));
    StreamPiece Piece;
    std::string IdWord;
    std::string DataWord;
    std::string Place;
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

} // namespace havenstair
