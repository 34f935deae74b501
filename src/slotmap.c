#include "goldcresthatch/slotmap.h"

#include <glib.h>

enum
{
  GENERATION_SHIFT = 32, /* bits of a handle below the generation */
  INITIAL_SLOTS = 16
};

struct slot
{
  void *object;
  uint32_t generation; /* of the present use, or of the next one; never 0 */
  uint32_t next_free;  /* slot number plus 1, or 0 at the end */
};

struct slotmap
{
  struct slot *slots;
  uint32_t size; /* slots allocated */
  uint32_t used; /* slots that were ever in use */
  uint32_t capacity;
  uint32_t count;
  /* Free slots are reused in the order in which they became free, so that the
     generation of a slot wraps around as late as possible.  */
  uint32_t free_first; /* slot number plus 1, or 0 */
  uint32_t free_last;
};

struct slotmap *
slotmap_new (uint32_t capacity)
{
  struct slotmap *slotmap = g_new0 (struct slotmap, 1);

  slotmap->capacity = capacity;
  return slotmap;
}

void
slotmap_free (struct slotmap *slotmap)
{
  if (slotmap == NULL)
    return;
  g_free (slotmap->slots);
  g_free (slotmap);
}

static uint64_t
make_handle (const struct slotmap *slotmap, uint32_t i)
{
  return (uint64_t)slotmap->slots[i].generation << GENERATION_SHIFT | i;
}

static struct slot *
find_slot (const struct slotmap *slotmap, uint64_t handle)
{
  uint32_t i = (uint32_t)handle;
  struct slot *slot;

  if (i >= slotmap->used)
    return NULL;
  slot = &slotmap->slots[i];
  if (slot->object == NULL || slot->generation != handle >> GENERATION_SHIFT)
    return NULL;
  return slot;
}

/* Returns a slot that was never in use, and grows the table if needed.  */
static uint32_t
allocate_slot (struct slotmap *slotmap)
{
  uint32_t size;

  if (slotmap->used == slotmap->size)
    {
      size = slotmap->size < INITIAL_SLOTS           ? INITIAL_SLOTS
             : slotmap->size > slotmap->capacity / 2 ? slotmap->capacity
                                                     : slotmap->size * 2;
      slotmap->slots = g_renew (struct slot, slotmap->slots, size);
      slotmap->size = size;
    }
  slotmap->slots[slotmap->used].generation = 1;
  return slotmap->used++;
}

static uint32_t
reuse_slot (struct slotmap *slotmap)
{
  uint32_t i = slotmap->free_first - 1;

  slotmap->free_first = slotmap->slots[i].next_free;
  if (slotmap->free_first == 0)
    slotmap->free_last = 0;
  return i;
}

uint64_t
slotmap_add (struct slotmap *slotmap, void *object)
{
  uint32_t i;

  if (object == NULL || slotmap->count == slotmap->capacity)
    return 0;
  i = slotmap->free_first != 0 ? reuse_slot (slotmap)
                               : allocate_slot (slotmap);
  slotmap->slots[i].object = object;
  slotmap->count++;
  return make_handle (slotmap, i);
}

void *
slotmap_get (const struct slotmap *slotmap, uint64_t handle)
{
  const struct slot *slot = find_slot (slotmap, handle);

  return slot != NULL ? slot->object : NULL;
}

void *
slotmap_remove (struct slotmap *slotmap, uint64_t handle)
{
  struct slot *slot = find_slot (slotmap, handle);
  void *object;

  if (slot == NULL)
    return NULL;
  object = slot->object;
  slot->object = NULL;
  slot->next_free = 0;
  slot->generation++;
  if (slot->generation == 0)
    slot->generation = 1;
  if (slotmap->free_last != 0)
    slotmap->slots[slotmap->free_last - 1].next_free = (uint32_t)handle + 1;
  else
    slotmap->free_first = (uint32_t)handle + 1;
  slotmap->free_last = (uint32_t)handle + 1;
  slotmap->count--;
  return object;
}

uint32_t
slotmap_count (const struct slotmap *slotmap)
{
  return slotmap->count;
}

uint64_t
slotmap_next (const struct slotmap *slotmap, uint64_t handle)
{
  uint32_t i = handle == 0 ? 0 : (uint32_t)handle + 1;

  for (; i < slotmap->used; i++)
    if (slotmap->slots[i].object != NULL)
      return make_handle (slotmap, i);
  return 0;
}
