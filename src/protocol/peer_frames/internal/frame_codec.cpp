#include "protocol/peer_frames/frame_codec.h"

#include <algorithm>
#include <cstring>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace peridot {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t HeaderBytes = LengthBytes + 1;
constexpr std::size_t TagBytes = 16;
constexpr std::size_t MaxHelloTextBytes = 255;

using hmac_digest = std::array<std::byte, 32>;

hmac_digest hmac(bytes_view Key, bytes_view Message) {
  hmac_digest Digest{};
  unsigned int Length = Digest.size();
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       reinterpret_cast<unsigned char *>(Digest.data()), &Length);
  return Digest;
}

bytes_view asBytes(std::string_view Text) {
  return std::as_bytes(std::span(Text.data(), Text.size()));
}

template <typename Number>
void appendNumber(std::vector<std::byte> &Out, Number Value) {
  for (std::size_t Index = 0; Index < sizeof(Number); ++Index)
    Out.push_back(static_cast<std::byte>(Value >> (8 * Index)));
}

template <typename Number> Number readNumber(bytes_view Bytes) {
  Number Value = 0;
  for (std::size_t Index = 0; Index < sizeof(Number); ++Index)
    Value |= static_cast<Number>(std::to_integer<Number>(Bytes[Index])
                                 << (8 * Index));
  return Value;
}

void append(std::vector<std::byte> &Out, bytes_view Bytes) {
  Out.insert(Out.end(), Bytes.begin(), Bytes.end());
}

void appendText(std::vector<std::byte> &Out, std::string_view Text) {
  const std::string_view Truncated = Text.substr(0, MaxHelloTextBytes);
  Out.push_back(static_cast<std::byte>(Truncated.size()));
  append(Out, asBytes(Truncated));
}

std::vector<std::byte> encodeHelloFields(const peer_hello &Hello) {
  std::vector<std::byte> Fields;
  appendNumber(Fields, Hello.Sender.Incarnation.Value);
  appendText(Fields, Hello.Sender.Vm.view());
  appendText(Fields, Hello.DataCenter.view());
  return Fields;
}

std::array<std::byte, TagBytes> computeTag(const session_key &Key,
                                           std::uint64_t Sequence,
                                           std::byte Subject, bytes_view Body) {
  std::vector<std::byte> Message;
  Message.reserve(sizeof(Sequence) + 1 + Body.size());
  appendNumber(Message, Sequence);
  Message.push_back(Subject);
  append(Message, Body);
  const hmac_digest Digest = hmac(Key, Message);
  std::array<std::byte, TagBytes> Tag{};
  std::copy_n(Digest.begin(), TagBytes, Tag.begin());
  return Tag;
}

bool equalInConstantTime(bytes_view Left, bytes_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

/// Removes one length-prefixed text from the front of \p Rest.
result<std::string_view> takeText(bytes_view &Rest) {
  if (Rest.empty() || Rest.size() - 1 < std::to_integer<std::size_t>(Rest[0]))
    return fail(error_kind::Protocol, "a peer's hello is truncated",
                "check that the peer port is used by peridotport only");
  const auto Length = std::to_integer<std::size_t>(Rest[0]);
  const std::string_view Text(reinterpret_cast<const char *>(Rest.data()) + 1,
                              Length);
  Rest = Rest.subspan(1 + Length);
  return Text;
}

result<peer_hello> readHelloFields(bytes_view Fields) {
  if (Fields.size() < sizeof(std::uint64_t))
    return fail(error_kind::Protocol, "a peer's hello is truncated",
                "check that the peer port is used by peridotport only");
  peer_hello Hello;
  Hello.Sender.Incarnation = {readNumber<std::uint64_t>(Fields)};
  bytes_view Rest = Fields.subspan(sizeof(std::uint64_t));
  const auto Vm = takeText(Rest);
  if (!Vm)
    return tl::unexpected(Vm.error());
  const auto DataCenter = takeText(Rest);
  if (!DataCenter)
    return tl::unexpected(DataCenter.error());
  Hello.Sender.Vm = vm_name(*Vm);
  Hello.DataCenter = data_center_name(*DataCenter);
  return Hello;
}

bool isKnownSubject(std::byte Subject) {
  return std::ranges::any_of(AllFrameSubjects, [&](frame_subject Known) {
    return static_cast<std::byte>(Known) == Subject;
  });
}

} // namespace

std::string_view nameOf(frame_subject Subject) {
  switch (Subject) {
  case frame_subject::Membership:
    return "membership";
  case frame_subject::Ownership:
    return "ownership";
  case frame_subject::Limits:
    return "limits";
  case frame_subject::Health:
    return "health";
  case frame_subject::Rollout:
    return "rollout";
  case frame_subject::Hosts:
    return "hosts";
  case frame_subject::Store:
    return "store";
  }
  return "unknown";
}

session_key deriveSessionKey(std::string_view FleetKey,
                             const link_challenge &Challenge,
                             const peer_hello &Hello) {
  std::vector<std::byte> Message(Challenge.begin(), Challenge.end());
  append(Message, encodeHelloFields(Hello));
  return hmac(asBytes(FleetKey), Message);
}

std::vector<std::byte> encodeHello(const peer_hello &Hello,
                                   std::string_view FleetKey,
                                   const link_challenge &Challenge) {
  const std::vector<std::byte> Fields = encodeHelloFields(Hello);
  const session_key Key = deriveSessionKey(FleetKey, Challenge, Hello);
  std::vector<std::byte> Out;
  appendNumber(Out, static_cast<std::uint32_t>(Fields.size() + TagBytes));
  append(Out, Fields);
  append(Out, computeTag(Key, 0, std::byte{0}, Fields));
  return Out;
}

result<peer_hello> decodeHello(bytes_view Body, std::string_view FleetKey,
                               const link_challenge &Challenge) {
  if (Body.size() < TagBytes)
    return fail(error_kind::Protocol, "a peer's hello is truncated",
                "check that the peer port is used by peridotport only");
  const bytes_view Fields = Body.first(Body.size() - TagBytes);
  auto Hello = readHelloFields(Fields);
  if (!Hello)
    return Hello;
  const session_key Key = deriveSessionKey(FleetKey, Challenge, *Hello);
  if (!equalInConstantTime(computeTag(Key, 0, std::byte{0}, Fields),
                           Body.last(TagBytes)))
    return fail(error_kind::Unauthorized,
                "a peer's hello is not authenticated with this VM's fleet key",
                "start all VMs of a fleet with the same --fleet_key_file");
  return Hello;
}

std::vector<std::byte> frame_encoder::encode(frame_subject Subject,
                                             bytes_view Body) {
  ++Sequence;
  const auto SubjectByte = static_cast<std::byte>(Subject);
  std::vector<std::byte> Out;
  Out.reserve(Body.size() + FrameOverheadBytes);
  appendNumber(Out, static_cast<std::uint32_t>(Body.size()));
  Out.push_back(SubjectByte);
  append(Out, Body);
  append(Out, computeTag(Key, Sequence, SubjectByte, Body));
  return Out;
}

void frame_decoder::feed(bytes_view Bytes) { append(Pending, Bytes); }

result<std::vector<peer_frame>> frame_decoder::takeFrames() {
  std::vector<peer_frame> Frames;
  bytes_view Rest = Pending;
  while (Rest.size() >= HeaderBytes) {
    const auto Length = readNumber<std::uint32_t>(Rest);
    if (Length > MaxFrameBodyBytes)
      return fail(error_kind::TooLarge, "a peer's frame is too large",
                  "run the same version of peridotport on all VMs");
    const std::size_t FrameBytes = HeaderBytes + Length + TagBytes;
    if (Rest.size() < FrameBytes)
      break;
    auto Frame = decodeOne(Rest.first(FrameBytes));
    if (!Frame)
      return tl::unexpected(Frame.error());
    Frames.push_back(std::move(*Frame));
    Rest = Rest.subspan(FrameBytes);
  }
  Pending.erase(Pending.begin(),
                Pending.end() - static_cast<std::ptrdiff_t>(Rest.size()));
  return Frames;
}

result<peer_frame> frame_decoder::decodeOne(bytes_view Frame) {
  ++Sequence;
  const std::byte Subject = Frame[LengthBytes];
  const bytes_view Body =
      Frame.subspan(HeaderBytes, Frame.size() - HeaderBytes - TagBytes);
  if (!equalInConstantTime(computeTag(Key, Sequence, Subject, Body),
                           Frame.last(TagBytes)))
    return fail(error_kind::Unauthorized,
                "a peer's frame has an invalid authentication tag",
                "check the network path between the VMs");
  if (!isKnownSubject(Subject))
    return fail(error_kind::Protocol, "a peer's frame has an unknown subject",
                "run the same version of peridotport on all VMs");
  return peer_frame{static_cast<frame_subject>(Subject),
                    {Body.begin(), Body.end()}};
}

} // namespace peridot
