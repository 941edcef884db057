#pragma once

#include "http/ClientConnection.h"
#include "proxy/Binding.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Decides what the end of an exchange with an upstream proves. A success
 * counts only with the signature of the upstream, and only the upstream itself
 * can say that it did not run a request.
 * @return the reply to the entry node, without the load of the target. */
ForwardReply
JudgeResponse(const HeaderNames& aNames,
              ExchangeEnd aEnd,
              ReceivedResponse aResponse);

} // namespace amaranthgap
