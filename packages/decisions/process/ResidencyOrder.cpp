#include "decisions/process/ResidencyOrder.h"

namespace havenstair {

std::string_view answerName(OrderAnswer Answer) {
  switch (Answer) {
  case OrderAnswer::Accepted:
    return "accepted";
  case OrderAnswer::AlreadyDone:
    return "already_done";
  case OrderAnswer::Busy:
    return "busy";
  case OrderAnswer::Fenced:
    return "fenced";
  case OrderAnswer::Refused:
    return "refused";
  case OrderAnswer::Lost:
    return "lost";
  }
  return "lost";
}

} // namespace havenstair
