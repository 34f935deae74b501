#include "goldcresthatch/tab.h"

#include <glib.h>

enum
{
  GENERATION_SHIFT = 32, /* bits of a handle below the generation */
  FIRST_SLOTS = 16
};

struct slot
{
  void *object;
  uint32_t generation; /* of the present use, or of the next one; never 0 */
  uint32_t next_free;  /* slot number plus 1, or 0 at the end */
};

struct tab
{
  struct slot *slots;
  uint32_t size; /* slots allocated */
  uint32_t used; /* slots that were ever in use */
  uint32_t capacity;
  uint32_t count;
  /* Free slots are used in the order in which they became free, so that a
     generation takes as long as possible to come round.  */
  uint32_t free_first; /* slot number plus 1, or 0 */
  uint32_t free_last;
};

struct tab *
tab_new (uint32_t capacity)
{
  struct tab *tab = g_new0 (struct tab, 1);

  tab->capacity = capacity;
  return tab;
}

void
tab_free (struct tab *tab)
{
  if (tab == NULL)
    return;
  g_free (tab->slots);
  g_free (tab);
}

static uint64_t
make_handle (const struct tab *tab, uint32_t i)
{
  return (uint64_t)tab->slots[i].generation << GENERATION_SHIFT | i;
}

static struct slot *
find (const struct tab *tab, uint64_t handle)
{
  uint32_t i = (uint32_t)handle;
  struct slot *slot;

  if (i >= tab->used)
    return NULL;
  slot = &tab->slots[i];
  if (slot->object == NULL || slot->generation != handle >> GENERATION_SHIFT)
    return NULL;
  return slot;
}

/* Takes a slot that was never in use.  */
static uint32_t
take_new (struct tab *tab)
{
  uint32_t size;

  if (tab->used == tab->size)
    {
      size = tab->size < FIRST_SLOTS         ? FIRST_SLOTS
             : tab->size > tab->capacity / 2 ? tab->capacity
                                             : tab->size * 2;
      tab->slots = g_renew (struct slot, tab->slots, size);
      tab->size = size;
    }
  tab->slots[tab->used].generation = 1;
  return tab->used++;
}

static uint32_t
take_free (struct tab *tab)
{
  uint32_t i = tab->free_first - 1;

  tab->free_first = tab->slots[i].next_free;
  if (tab->free_first == 0)
    tab->free_last = 0;
  return i;
}

uint64_t
tab_add (struct tab *tab, void *object)
{
  uint32_t i;

  if (object == NULL || tab->count == tab->capacity)
    return 0;
  i = tab->free_first != 0 ? take_free (tab) : take_new (tab);
  tab->slots[i].object = object;
  tab->count++;
  return make_handle (tab, i);
}

void *
tab_get (const struct tab *tab, uint64_t handle)
{
  const struct slot *slot = find (tab, handle);

  return slot != NULL ? slot->object : NULL;
}

void *
tab_remove (struct tab *tab, uint64_t handle)
{
  struct slot *slot = find (tab, handle);
  void *object;

  if (slot == NULL)
    return NULL;
  object = slot->object;
  slot->object = NULL;
  slot->next_free = 0;
  slot->generation++;
  if (slot->generation == 0)
    slot->generation = 1;
  if (tab->free_last != 0)
    tab->slots[tab->free_last - 1].next_free = (uint32_t)handle + 1;
  else
    tab->free_first = (uint32_t)handle + 1;
  tab->free_last = (uint32_t)handle + 1;
  tab->count--;
  return object;
}

uint32_t
tab_count (const struct tab *tab)
{
  return tab->count;
}

uint64_t
tab_next (const struct tab *tab, uint64_t handle)
{
  uint32_t i = handle == 0 ? 0 : (uint32_t)handle + 1;

  for (; i < tab->used; i++)
    if (tab->slots[i].object != NULL)
      return make_handle (tab, i);
  return 0;
}
