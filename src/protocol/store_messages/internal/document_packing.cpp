#include "protocol/store_messages/document_packing.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// Bounds the memory that a message can request. A list of all entries takes
/// several times the largest entry.
constexpr std::size_t MaxDocumentBytes = 16U << 20U;
constexpr int CompressionLevel = 3;
/// Window size in which all of a small document fits.
constexpr int MinWindowLog = 17;

struct compressor_deleter {
  void operator()(ZSTD_CCtx *Context) const { ZSTD_freeCCtx(Context); }
};
struct decompressor_deleter {
  void operator()(ZSTD_DCtx *Context) const { ZSTD_freeDCtx(Context); }
};

/// Returns the window size, as a power of two, that reaches back from the end
/// of a document to the start of its base.
int windowLogFor(std::size_t Bytes) {
  return std::max(MinWindowLog, static_cast<int>(std::bit_width(Bytes)));
}

tl::unexpected<error> malformed(std::string_view Cause) {
  return fail(error_kind::Protocol,
              "a relayed document cannot be unpacked: " + std::string(Cause),
              "run the same version of peridotport on all VMs");
}

} // namespace

packed_document packDocument(std::string_view Document,
                             const packing_base &Base) {
  const std::unique_ptr<ZSTD_CCtx, compressor_deleter> Context(
      ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_compressionLevel,
                         CompressionLevel);
  packed_document Packed{.Size = static_cast<std::uint32_t>(Document.size())};
  if (!Base.Text.empty()) {
    ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog,
                           windowLogFor(Document.size() + Base.Text.size()));
    ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(Context.get(), Base.Text.data(), Base.Text.size());
    Packed.BaseName = Base.Name;
    Packed.BaseHash = contentHash(Base.Text);
  }
  Packed.Bytes.resize(ZSTD_compressBound(Document.size()));
  const std::size_t Size =
      ZSTD_compress2(Context.get(), Packed.Bytes.data(), Packed.Bytes.size(),
                     Document.data(), Document.size());
  // Cannot fail: the output buffer has the maximum size.
  Packed.Bytes.resize(ZSTD_isError(Size) ? 0 : Size);
  return Packed;
}

result<std::string> unpackDocument(const packed_document &Packed,
                                   std::string_view BaseText) {
  if (Packed.Size > MaxDocumentBytes)
    return malformed("its size is above the limit");
  const std::unique_ptr<ZSTD_DCtx, decompressor_deleter> Context(
      ZSTD_createDCtx());
  if (!BaseText.empty())
    ZSTD_DCtx_refPrefix(Context.get(), BaseText.data(), BaseText.size());
  std::string Document(Packed.Size, '\0');
  const std::size_t Size =
      ZSTD_decompressDCtx(Context.get(), Document.data(), Document.size(),
                          Packed.Bytes.data(), Packed.Bytes.size());
  if (ZSTD_isError(Size))
    return malformed(ZSTD_getErrorName(Size));
  if (Size != Packed.Size)
    return malformed("it is shorter than declared");
  return Document;
}

} // namespace peridot
