#pragma once

#include <string>

#include "platform/KeyValueStore.h"

namespace amaranthgap {

/**
 * Client of the platform's key-value service over HTTP and JSON. Values are
 * carried in base64.
 *
 *     GET    /v1/kv/<key>                             200, 404
 *     PUT    /v1/kv/<key>?revision=<expected>         200, 409
 *     DELETE /v1/kv/<key>?revision=<expected>         200, 409
 *     GET    /v1/watch/<key>?revision=<seen>&wait_ms= 200, 304
 *
 * A refusal without effect is 400, 413 or 429, or 503 with `"applied": false`.
 * Any other answer to a write leaves its effect open and is Unclear.
 *
 * Each call opens a connection of its own: a write on a kept connection that
 * the store has just closed could not be told from a lost answer. Safe for use
 * by several threads.
 */
class HttpKeyValueStore : public KeyValueStore
{
public:
  /** @param aAddress `host:port`. */
  explicit HttpKeyValueStore(const std::string& aAddress);

  StoreAnswer Execute(const StoreRequest& aRequest) override;

private:
  std::string mHost;
  int mPort = 0;
};

} // namespace amaranthgap
