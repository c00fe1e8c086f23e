#include "distribution/configuration_history.h"

#include <utility>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/configuration_delta.h"
#include "distribution/down_message.h"

namespace quetzal {

namespace {

std::string EncodeDeterministic(const Configuration& configuration) {
  std::string bytes;
  google::protobuf::io::StringOutputStream stream(&bytes);
  google::protobuf::io::CodedOutputStream coded(&stream);
  coded.SetSerializationDeterministic(true);
  configuration.SerializeToCodedStream(&coded);
  coded.Trim();
  return bytes;
}

}  // namespace

ConfigurationDigest ComputeDigest(const Configuration& configuration) {
  const std::string bytes = EncodeDeterministic(configuration);
  const std::uint64_t hash = XXH64(bytes.data(), bytes.size(), 0);
  return {hash == 0 ? 1 : hash, bytes.size()};
}

bool ConfigurationHistory::Add(const Version& version,
                               MeasuredConfiguration configuration) {
  if (!entries_.empty() && !IsOlder(entries_.back().version, version)) return false;
  Entry entry;
  entry.version = version;
  entry.digest = configuration.digest;
  entry.configuration = std::move(configuration.configuration);
  bytes_ += entry.digest.bytes;
  entries_.push_back(std::move(entry));
  encoded_.clear();
  while (entries_.size() > 1 && (bytes_ > max_bytes_ || entries_.size() > max_entries_)) {
    bytes_ -= entries_.front().digest.bytes;
    entries_.pop_front();
  }
  return true;
}

Version ConfigurationHistory::version() const {
  return entries_.empty() ? Version() : entries_.back().version;
}

std::uint64_t ConfigurationHistory::digest() const {
  return entries_.empty() ? 0 : entries_.back().digest.value;
}

std::shared_ptr<const Configuration> ConfigurationHistory::configuration() const {
  return entries_.empty() ? nullptr : entries_.back().configuration;
}

const ConfigurationHistory::Entry* ConfigurationHistory::Find(
    const Version& version, std::uint64_t digest) const {
  if (digest == 0) return nullptr;
  for (const Entry& entry : entries_) {
    if (IsSame(entry.version, version) && entry.digest.value == digest) return &entry;
  }
  return nullptr;
}

ConfigurationUpdate ConfigurationHistory::MakeUpdate(const Version& applied,
                                                     std::uint64_t applied_digest) const {
  ConfigurationUpdate update;
  if (entries_.empty()) return update;
  const Entry& last = entries_.back();
  *update.mutable_version() = last.version;
  update.set_digest(last.digest.value);
  const Entry* base = Find(applied, applied_digest);
  if (base != nullptr) {
    ConfigurationDelta delta = MakeDelta(*base->configuration, *last.configuration);
    if (delta.ByteSizeLong() < last.digest.bytes) {
      *update.mutable_base() = base->version;
      update.set_base_digest(base->digest.value);
      *update.mutable_delta() = std::move(delta);
      return update;
    }
  }
  *update.mutable_snapshot() = *last.configuration;
  return update;
}

const std::string& ConfigurationHistory::UpdateFrom(const Version& applied,
                                                    std::uint64_t applied_digest) {
  if (entries_.empty() || !IsOlder(applied, entries_.back().version))
    return empty_update_;
  const Entry* base = Find(applied, applied_digest);
  const std::uint64_t key = base == nullptr ? 0 : base->digest.value;
  std::string& bytes = encoded_[key];
  if (!bytes.empty()) return bytes;
  DownMessage message;
  *message.mutable_update() = MakeUpdate(applied, applied_digest);
  bytes = EncodeDown(message);
  return bytes;
}

MeasuredConfiguration ApplyUpdate(const ConfigurationUpdate& update,
                                  const Version& applied,
                                  const MeasuredConfiguration& configuration) {
  std::shared_ptr<const Configuration> result;
  switch (update.content_case()) {
    case ConfigurationUpdate::kSnapshot:
      result = std::make_shared<const Configuration>(update.snapshot());
      break;
    case ConfigurationUpdate::kDelta:
      if (configuration.configuration == nullptr || !IsSame(update.base(), applied) ||
          configuration.digest.value != update.base_digest()) {
        throw Error(ResultCode::kDeltaBaseMismatch,
                    "the delta is based on " + ToText(update.base()) +
                        ", but the applied version is " + ToText(applied));
      }
      result = ApplyDelta(*configuration.configuration, update.delta());
      break;
    default:
      throw Error(ResultCode::kMessageMalformed, "the update has no content");
  }
  const ConfigurationDigest digest = ComputeDigest(*result);
  if (digest.value != update.digest()) {
    throw Error(update.has_delta() ? ResultCode::kDeltaBaseMismatch
                                   : ResultCode::kMessageMalformed,
                "the digest of the result is not that of " + ToText(update.version()));
  }
  // ApplyDelta has already validated its result.
  if (update.has_snapshot()) CheckConfiguration(*result);
  return {std::move(result), digest};
}

}  // namespace quetzal
