#ifndef QUETZAL_DISTRIBUTION_DOWN_MESSAGE_H_
#define QUETZAL_DISTRIBUTION_DOWN_MESSAGE_H_

#include <string>

#include "distribution.pb.h"

namespace quetzal {

/// Encodes a message to a subscriber; a large update is compressed.
std::string EncodeDown(const DownMessage& message);

/// Decodes a message; a compressed update is decompressed into `update`. Returns false
/// when the bytes cannot be decoded.
bool DecodeDown(const std::string& bytes, DownMessage* message);

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_DOWN_MESSAGE_H_
