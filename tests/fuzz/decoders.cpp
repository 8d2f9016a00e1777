#include "fuzz/decoders.h"

#include <variant>

#include "platform/internal/object_codec.h"
#include "protocol/health_messages/health_codec.h"
#include "protocol/host_messages/host_codec.h"
#include "protocol/http/request_framing.h"
#include "protocol/limits_messages/limits_codec.h"
#include "protocol/membership_messages/heartbeat_codec.h"
#include "protocol/operator_documents/log_lines.h"
#include "protocol/operator_documents/operator_documents.h"
#include "protocol/ownership_messages/lease_codec.h"
#include "protocol/ownership_messages/shard_map_document.h"
#include "protocol/peer_frames/frame_codec.h"
#include "protocol/platform_documents/platform_documents.h"
#include "protocol/rollout_messages/rollout_codec.h"
#include "protocol/service_files/service_file_reader.h"
#include "protocol/store_messages/document_packing.h"
#include "protocol/store_messages/store_codec.h"

namespace peridot::test {

namespace {

std::string textOf(std::span<const std::byte> Bytes) {
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

bytes_view bytesOf(std::string_view Text) {
  return std::as_bytes(std::span(Text));
}

/// Encodes one message of each alternative, with default values.
template <typename Variant, std::size_t Index = 0, typename Encode>
void addAlternatives(std::vector<std::string> &Messages, Encode EncodeOne) {
  if constexpr (Index < std::variant_size_v<Variant>) {
    Messages.push_back(textOf(
        EncodeOne(Variant(std::variant_alternative_t<Index, Variant>{}))));
    addAlternatives<Variant, Index + 1>(Messages, EncodeOne);
  }
}

/// A decoder of frame bodies whose messages are the alternatives of a variant.
template <typename Variant, typename Encode, typename Decode>
fuzzed_decoder messageDecoder(std::string_view Name, Encode EncodeOne,
                              Decode DecodeOne) {
  fuzzed_decoder Decoder{.Name = Name, .Decode = [=](std::string_view Text) {
                           if (const auto Decoded = DecodeOne(bytesOf(Text)))
                             (void)EncodeOne(*Decoded);
                         }};
  addAlternatives<Variant>(Decoder.Messages, EncodeOne);
  return Decoder;
}

template <typename Decode>
fuzzed_decoder textDecoder(std::string_view Name,
                           const std::vector<std::string> &Messages,
                           Decode DecodeOne) {
  return {.Name = Name,
          .Messages = Messages,
          .Decode = [=](std::string_view Text) { (void)DecodeOne(Text); }};
}

service_document sampleDocument() {
  return {.Service = {.Name = service_name("hive"),
                      .Routes = {{.PathPrefix = "/hive"}},
                      .Targets = {{.Name = target_name("hive-1"),
                                   .Address = "10.0.0.1",
                                   .Port = 80}}},
          .Accounts = {
              {.Name = account_name("keepers"), .Keys = {key_digest("00ff")}}}};
}

constexpr std::string_view ServiceFile =
    "service = \"hive\"\n[[route]]\npath = \"/hive\"\ndeadline_ms = 900\n"
    "[[target]]\nname = \"hive-1\"\ndata_center = \"lakes-a\"\n"
    "address = \"127.0.0.1\"\nport = 80\n[[account]]\nname = \"keepers\"\n"
    "rate = 40\nburst = 80\nkeys = []\n";

constexpr std::string_view RequestHead =
    "POST /hive?a=b HTTP/1.1\r\nHost: fleet\r\nContent-Length: 5\r\n"
    "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n";

constexpr std::string_view ConfigurationList =
    R"({"items":[{"metadata":{"name":"main","revision":9},"spec":{"version":7,)"
    R"("resources":[{"resource-kind":"routes","metadata":{"name":"r"},"spec":{)"
    R"("host":"a","path-prefix":"/x/","kind":"download","timeout":"2s",)"
    R"("traffic-split":[{"service":"one","weight":9}],"max-attempts":2}},)"
    R"({"resource-kind":"services","metadata":{"name":"one"},"spec":{}},)"
    R"({"resource-kind":"tenants","metadata":{"name":"t"},"spec":{)"
    R"("api-keys":["k"],"rate-per-s":3.5,"burst":4}},{"resource-kind":)"
    R"("limits","metadata":{},"spec":{"idle-timeout":"9000ms"}}]}}],)"
    R"("has-more":false,"store-revision":12})";

constexpr std::string_view TargetChanges =
    R"({"events":[{"deleted":false,"object":{"metadata":{"name":"i-1",)"
    R"("revision":3},"spec":{"address":"10.0.0.1:80","born":5,"info":{)"
    R"("service":"one","zone":"a","max-concurrency":3},"status":{"state":)"
    R"("ready","sequence":1,"warmup-left":"250ms"}}}}],"store-revision":4})";

fuzzed_decoder platformDecoder() {
  return textDecoder(
      "platform objects",
      {std::string(ConfigurationList), std::string(TargetChanges)},
      [](std::string_view Text) {
        bool HasMore = false;
        for (const fleet_collection Each : AllCollections) {
          (void)hivecrest::decodeList(Each, Text, HasMore);
          (void)hivecrest::decodeChanges(Each, Text);
        }
        return HasMore;
      });
}

fuzzed_decoder frameDecoder() {
  constexpr std::string_view Key = "a key of the fleet";
  const peer_hello Hello{.Sender = {vm_name("vm-1"), {7}},
                         .DataCenter = data_center_name("lakes-a")};
  const link_challenge Challenge{};
  const auto SessionKey = deriveSessionKey(Key, Challenge, Hello);
  frame_encoder Encoder(SessionKey);
  const std::string Body = "body";
  return textDecoder(
      "peer frames",
      {textOf(Encoder.encode(frame_subject::Store, bytesOf(Body))),
       textOf(encodeHello(Hello, Key, Challenge))},
      [=](std::string_view Text) {
        frame_decoder Decoder(SessionKey);
        Decoder.feed(bytesOf(Text));
        (void)Decoder.takeFrames();
        return decodeHello(bytesOf(Text), Key, Challenge);
      });
}

fuzzed_decoder documentDecoder() {
  const packed_document Packed = packDocument(ConfigurationList);
  return textDecoder("packed documents", {Packed.Bytes},
                     [Size = Packed.Size](std::string_view Text) {
                       return unpackDocument(
                           {.Size = Size, .Bytes = std::string(Text)});
                     });
}

} // namespace

std::vector<fuzzed_decoder> allDecoders() {
  fuzzed_decoder Heartbeats{.Name = "heartbeats",
                            .Messages = {textOf(encodeHeartbeat(
                                {.SilentLinkReports = {{}},
                                 .LeavingVms = {{vm_name("vm-1"), {1}}}}))},
                            .Decode = [](std::string_view Text) {
                              (void)decodeHeartbeat(bytesOf(Text));
                            }};
  return {
      messageDecoder<health_message>("health messages", encodeHealthMessage,
                                     decodeHealthMessage),
      messageDecoder<host_message>("host messages", encodeHostMessage,
                                   decodeHostMessage),
      messageDecoder<limits_message>("limits messages", encodeLimitsMessage,
                                     decodeLimitsMessage),
      messageDecoder<lease_message>("lease messages", encodeLeaseMessage,
                                    decodeLeaseMessage),
      messageDecoder<rollout_message>("rollout messages", encodeRolloutMessage,
                                      decodeRolloutMessage),
      messageDecoder<store_message>("store messages", encodeStoreMessage,
                                    decodeStoreMessage),
      std::move(Heartbeats),
      frameDecoder(),
      documentDecoder(),
      platformDecoder(),
      textDecoder("service documents", {encodeDocument(sampleDocument())},
                  decodeDocument),
      textDecoder("manifests", {encodeManifest({.Documents = {{}}})},
                  decodeManifest),
      textDecoder("lists of VMs", {encodeVmList(std::vector<listed_vm>(1))},
                  decodeVmList),
      textDecoder("shard maps", {encodeShardMap({})}, decodeShardMap),
      textDecoder("status documents", {encodeStatus({})}, decodeStatus),
      textDecoder("journals", {encodeJournal(std::vector<journal_entry>(1))},
                  decodeJournal),
      textDecoder("burn documents", {encodeBurn(std::vector<subject_burn>(1))},
                  decodeBurn),
      textDecoder("log lines", {R"({"time":"t","event":"e","vm":"v"})"},
                  decodeLogLine),
      textDecoder("service files", {std::string(ServiceFile)},
                  [](std::string_view Text) {
                    return readServiceFile("hive.toml", Text);
                  }),
      textDecoder("request heads", {std::string(RequestHead)}, checkHead),
  };
}

} // namespace peridot::test
